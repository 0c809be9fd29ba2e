//go:build crowds

package crowds

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// endless is how much a client sends whose request has no end.
	endless = 32 << 20 // bytes
	// smallSegment is the size of the writes of clients that send slowly, smallPause the
	// time between two of them, which keeps them apart on the wire.
	smallSegment = 16 // bytes
	smallPause   = time.Millisecond
	// sendTimeout ends the sending of a client whose bytes are not read.
	sendTimeout = 20 * time.Second
)

// script sends what one client sends, and returns the first error. The connection stays
// open afterwards.
type script func(c net.Conn) error

// crowd is clients that run the same script and keep their connections open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// openCrowd opens n connections to an address, runs the script on each and returns once
// all have sent what they could. The connections stay open until the end of the test.
func openCrowd(t *testing.T, address string, n int, send script) {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { c.run(address, send) })
	}
	wg.Wait()
}

// run is one client. A server may refuse it or close its connection at any moment.
func (c *crowd) run(address string, send script) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) == nil {
		send(conn) //nolint:errcheck // the server may close the connection
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close() //nolint:errcheck // only the close matters
	}
}

// sendNothing is a client that only opens a connection.
func sendNothing(net.Conn) error { return nil }

// repeat returns a script that sends head once and then piece until total bytes are sent.
func repeat(head, piece string, total int) script {
	block := strings.Repeat(piece, max(1, 16<<10/len(piece)))
	return func(c net.Conn) error {
		_, err := io.WriteString(c, head)
		for sent := 0; err == nil && sent < total; sent += len(block) {
			_, err = io.WriteString(c, block)
		}
		return err
	}
}

// slowly returns a script that sends text in small segments.
func slowly(text string) script {
	return func(c net.Conn) error {
		for left := text; len(left) > 0; time.Sleep(smallPause) {
			segment := left[:min(len(left), smallSegment)]
			if _, err := io.WriteString(c, segment); err != nil {
				return err
			}
			left = left[len(segment):]
		}
		return nil
	}
}

// atOnce returns a script that sends text.
func atOnce(text string) script {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

// fields returns complete header fields of about size bytes together.
func fields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x-%06d: %s\r\n", i, strings.Repeat("v", 20))
	}
	return b.String()
}

// chunks returns a body of size bytes in chunks of one length, without its end.
func chunks(size, length int) string {
	var b bytes.Buffer
	chunk := fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("b", length))
	for range size / length {
		b.WriteString(chunk)
	}
	return b.String()
}

// readAnswer waits until the server has answered or closed the connection.
func readAnswer(c net.Conn) error {
	if err := c.SetReadDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 4<<10))
	return err
}

// sendOnce sends text on a connection of its own and reads the first bytes of the answer.
func sendOnce(address, text string) error {
	c, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return nil //nolint:nilerr // refused before its end
	}
	readAnswer(c) //nolint:errcheck // the server may close the connection
	return nil
}
