//go:build crowds

package crowds

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// peerPreface begins a connection of HTTP/2: the preface and an empty SETTINGS frame.
var peerPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(0x4, "")

const (
	frameHeaders = 0x1
	frameReset   = 0x3
	framePing    = 0x6
	frameUnknown = 0xfa // servers skip frames of a type that they do not know
)

// frame is a frame of HTTP/2 for the whole connection.
func frame(kind byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0, 0, 0, 0, 0}) + payload
}

// peerCrowd is clients of the peers' listener whose requests stop short of their end.
type peerCrowd struct {
	conns, streams int // streams of each connection
	bodyBytes      int // of each stream
	headBytes      int // in additional header fields, of each stream
}

// unfinishedBody is a body that does not end before its context does.
type unfinishedBody struct {
	ctx  context.Context
	left int
	sent func() // called once when all bytes were sent
}

func (b *unfinishedBody) Read(p []byte) (int, error) {
	if b.left > 0 {
		n := min(len(p), b.left)
		clear(p[:n])
		b.left -= n
		return n, nil
	}
	b.sent()
	<-b.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// openPeerCrowd sends the requests of a crowd and returns once each has sent its bytes
// or was refused. The others stay open until the end of the test.
func openPeerCrowd(t *testing.T, address string, crowd peerCrowd) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var sent, ended sync.WaitGroup
	t.Cleanup(func() { cancel(); ended.Wait() })
	for range crowd.conns {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		for range crowd.streams {
			sent.Add(1)
			done := sync.OnceFunc(sent.Done)
			// A server that does not read leaves the bytes unsent.
			timer := time.AfterFunc(sendTimeout, done)
			ended.Go(func() {
				defer timer.Stop()
				defer done()
				sendUnfinished(ctx, transport, address, crowd, done)
			})
		}
	}
	sent.Wait()
}

func sendUnfinished(ctx context.Context, transport *http.Transport, address string, crowd peerCrowd, sent func()) {
	body := &unfinishedBody{ctx: ctx, left: crowd.bodyBytes, sent: sent}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/twirp/baobabsill.peer.Peer/Fetch", body)
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/protobuf")
	if crowd.headBytes > 0 {
		req.Header.Set("X-Filler", strings.Repeat("v", crowd.headBytes))
	}
	if resp, err := transport.RoundTrip(req); err == nil {
		resp.Body.Close() //nolint:errcheck // refused
	}
}

// peerCrowds are crowds within each limit of a single request.
var peerCrowds = map[string]peerCrowd{
	"large bodies":  {conns: 10, streams: 4, bodyBytes: 12 << 20},
	"small bodies":  {conns: 40, streams: 10, bodyBytes: 1 << 20},
	"large headers": {conns: 10, streams: 40, headBytes: 800 << 10},
	"many streams":  {conns: 100, streams: 200, bodyBytes: 1},
}

// Guards against clients of the peers' listener that end a process or fill its memory.
func TestCrowdsOfPeers(t *testing.T) {
	for name, crowd := range peerCrowds {
		t.Run(name, func(t *testing.T) {
			d := startEdge(t, nil)
			openPeerCrowd(t, d.endpoints["peers"].address, crowd)
			d.checkBounds(t)
		})
	}
}

// resetStreams returns the frames that open n streams and reset each at once.
func resetStreams(n int) string {
	// An index of the static table of HPACK for method and scheme, literals without an
	// index for the path and the authority.
	header := "\x83\x86\x04\x02/q\x01\x01h" + "\x00\x08x-filler" + "\x7f\xe1\x5c" + strings.Repeat("v", 12_000)
	var b strings.Builder
	for i := range n {
		id := string([]byte{0, 0, byte((2*i + 1) >> 8), byte(2*i + 1)})
		headers, reset := frame(frameHeaders, header), frame(frameReset, "\x00\x00\x00\x08")
		b.WriteString(headers[:4] + "\x04" + id + headers[9:]) // 4: the end of the header
		b.WriteString(reset[:5] + id + reset[9:])
	}
	return b.String()
}

// peerScripts are crowds of connections whose frames are valid.
var peerScripts = map[string]script{
	// The largest frame that the server of the standard library accepts by default.
	"large frames":  atOnce(peerPreface + frame(frameUnknown, strings.Repeat("f", 1<<20))),
	"reset streams": atOnce(peerPreface + resetStreams(2_000)),
	// Each asks for an answer, and no answer is read.
	"unread pings": repeat(peerPreface, frame(framePing, "12345678"), 9_000*17),
}

// Guards against connections of peers that make the server keep memory without a call.
func TestCrowdsOfPeerFrames(t *testing.T) {
	for name, send := range peerScripts {
		t.Run(name, func(t *testing.T) {
			d := startEdge(t, nil)
			openCrowd(t, d.endpoints["peers"].address, 600, send)
			d.checkBounds(t)
		})
	}
}
