package peer

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/exchange/exchangetest"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// HTTP/2 frame types and flags, see RFC 9113, section 6.
const (
	frameData, frameHeaders, frameSettings = 0, 1, 4
	flagEndStream, flagEndHeaders          = 1, 4
	frameHeaderBytes                       = 9
	clientPreface                          = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

func writeFrame(w io.Writer, kind, flags byte, stream uint32, payload string) error {
	frame := append([]byte{0, 0, byte(len(payload)), kind, flags}, binary.BigEndian.AppendUint32(nil, stream)...)
	_, err := w.Write(append(frame, payload...))
	return err
}

// encodeField returns a literal header field without indexing, see RFC 7541, section 6.2.2.
func encodeField(name, value string) string {
	return "\x00" + string([]byte{byte(len(name))}) + name + string([]byte{byte(len(value))}) + value
}

// serveFields answers the first request of an HTTP/2 connection with header fields and
// then a body.
func serveFields(c net.Conn, fields, body string) error {
	if _, err := io.ReadFull(c, make([]byte, len(clientPreface))); err != nil {
		return err
	}
	if err := writeFrame(c, frameSettings, 0, 0, ""); err != nil {
		return err
	}
	for {
		head := make([]byte, frameHeaderBytes)
		if _, err := io.ReadFull(c, head); err != nil {
			return err
		}
		size := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
		if _, err := io.CopyN(io.Discard, c, size); err != nil {
			return err
		}
		if head[3] != frameHeaders {
			continue
		}
		stream := binary.BigEndian.Uint32(head[5:])
		if err := writeFrame(c, frameHeaders, flagEndHeaders, stream, fields); err != nil {
			return err
		}
		return writeFrame(c, frameData, flagEndStream, stream, body)
	}
}

// Guards against a reply of another instance that is read from an answer that HTTP does
// not allow. The last case shows that the same answer is read without its fault.
func TestMalformedReplyOfPeer(t *testing.T) {
	status := func(s string) string { return encodeField(":status", s) }
	media := encodeField("content-type", "application/protobuf")
	for name, c := range map[string]struct {
		fields string
		read   bool
	}{
		"status 000":           {status("000") + media, false},
		"status 600":           {status("600") + media, false},
		"protocol":             {status("101") + media, false},
		"blank in a name":      {status("200") + media + encodeField("x odd", "1"), false},
		"blank before a name":  {status("200") + media + encodeField(" x-odd", "1"), false},
		"control byte in name": {status("200") + media + encodeField("x\x01odd", "1"), false},
		"proper":               {status("200") + media, true},
	} {
		t.Run(name, func(t *testing.T) {
			ln := exchangetest.Listen(t, func(_ int, conn net.Conn) {
				go func() {
					defer conn.Close()
					if serveFields(conn, c.fields, "") == nil {
						_, _ = io.Copy(io.Discard, conn) // until the client closes
					}
				}()
			})
			conns := NewConns(nil, nil, Options{ConnsPerPeer: 1, PingAfter: time.Second})
			t.Cleanup(conns.Close)
			_, err := conns.Client(ln.Addr().String()).Fetch(t.Context(), &peerpb.FetchRequest{})
			if (err == nil) != c.read || err != nil && NotSent(err) {
				t.Errorf("%v, not sent: %t", err, NotSent(err))
			}
		})
	}
}
