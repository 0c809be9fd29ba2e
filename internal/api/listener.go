package api

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// writeTimeout bounds one write, so that a caller that does not read its
// answer holds no goroutine.
const writeTimeout = 10 * time.Second

// trackingListener knows its open connections, so that a shutdown can close
// idle ones instead of waiting for their callers.
type trackingListener struct {
	net.Listener
	// readTimeout bounds the first request of a connection. Hertz sets its
	// read timeout only from the second request on.
	readTimeout time.Duration
	mu          sync.Mutex
	closed      bool
	conns       map[*trackedConn]struct{}
}

// Accept returns the next connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(l.readTimeout)) //nolint:errcheck // fails only on a closed connection
	t := &trackedConn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close() //nolint:errcheck // nothing was written
		return nil, net.ErrClosed
	}
	l.conns[t] = struct{}{}
	return t, nil
}

// closeConns closes all connections.
func (l *trackingListener) closeConns() {
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = map[*trackedConn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		c.Conn.Close() //nolint:errcheck // the peer sees the close either way
	}
}

// closeIdle closes the connections without a request in flight and returns
// the number of the others. Later connections are refused.
func (l *trackingListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		if !c.busy.Load() {
			c.Conn.Close() //nolint:errcheck // the peer sees the close either way
			delete(l.conns, c)
		}
	}
	return len(l.conns)
}

// trackedConn bounds the time of its writes and knows whether a request is in
// flight: from the first byte of the request to the first read after the
// answer.
type trackedConn struct {
	net.Conn
	listener *trackingListener
	busy     atomic.Bool
	wrote    atomic.Bool
}

// Read reads into b.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.wrote.Load() {
		c.busy.Store(false)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.wrote.Store(false)
		c.busy.Store(true)
	}
	return n, err
}

// Close closes the connection. Hertz drops a request whose body ends too early
// without an answer, so it is refused here.
func (c *trackedConn) Close() error {
	if c.busy.Load() && !c.wrote.Load() {
		c.Write(plainTruncated) //nolint:errcheck // the peer may be gone
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Write writes b. Hertz answers requests that it cannot read with plain text
// and offers no hook for it, so such an answer is replaced by a typed refusal.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.wrote.Store(true)
	if r := readRefusal(b); r != nil {
		if _, err := c.Conn.Write(r); err != nil {
			return 0, err
		}
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// readRefusals maps the bodies of Hertz's answers to typed refusals.
var readRefusals = []struct {
	body    string
	status  string
	reason  outcome.Reason
	message string
}{
	{"Request timeout", "408 Request Timeout", outcome.ReasonTimeout, "the request did not arrive in time"},
	{"Request Entity Too Large", "413 Request Entity Too Large", outcome.ReasonMalformed, "the body is too large"},
	{"Request Header Fields Too Large", "431 Request Header Fields Too Large", outcome.ReasonMalformed, "the header is too large"},
	{"Error when parsing request", "400 Bad Request", outcome.ReasonTruncated, "the request is malformed or its body is truncated"},
}

// plainTruncated is Hertz's answer to a malformed request.
var plainTruncated = []byte("HTTP/1.1 400 Bad Request\r\n\r\nError when parsing request")

func readRefusal(b []byte) []byte {
	if !bytes.HasPrefix(b, []byte("HTTP/1.1 4")) {
		return nil
	}
	_, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return nil
	}
	for _, r := range readRefusals {
		if string(body) == r.body {
			doc := fmt.Sprintf(`{"outcome":%q,"reason":%q,"message":%q}`, outcome.Invalid, r.reason, r.message)
			return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				r.status, len(doc), doc)
		}
	}
	return nil
}
