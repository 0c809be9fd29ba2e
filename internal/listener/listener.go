// Package listener accepts the connections of callers for a Hertz server and
// knows which of them carry a request.
package listener

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write, so that a caller that does not read its
// answer holds no goroutine.
const writeTimeout = 10 * time.Second

// Listener knows its open connections, so that a shutdown can close idle ones
// instead of waiting for their callers. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// readTimeout bounds the first request of a connection. Hertz sets its
	// read timeout only from the second request on.
	readTimeout time.Duration
	// rewrite returns what is written in place of an answer of Hertz's own, or
	// nil to keep it.
	rewrite func(answer []byte) []byte
	mu      sync.Mutex
	closed  bool
	conns   map[*trackedConn]struct{}
}

// New returns a Listener. rewrite may be nil.
func New(ln net.Listener, readTimeout time.Duration, rewrite func(answer []byte) []byte) *Listener {
	return &Listener{Listener: ln, readTimeout: readTimeout, rewrite: rewrite, conns: map[*trackedConn]struct{}{}}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(l.readTimeout)) //nolint:errcheck // fails only on a closed connection
	t := &trackedConn{Conn: c, listener: l}
	t.idleSince.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close() //nolint:errcheck // nothing was written
		return nil, net.ErrClosed
	}
	l.conns[t] = struct{}{}
	return t, nil
}

// CloseConns closes all connections.
func (l *Listener) CloseConns() {
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = map[*trackedConn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		c.Conn.Close() //nolint:errcheck // the peer sees the close either way
	}
}

// CloseIdle makes the connections without a request in flight end and returns
// the number of those that are still open. Later connections are refused.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		if !c.busy.Load() {
			c.expire()
		}
	}
	return len(l.conns)
}

// drainTick is how often Drain looks for connections that became idle.
const drainTick = 5 * time.Millisecond

// Drain stops accepting connections, closes idle ones, waits until the requests
// in flight have ended or ctx ends, and closes the rest. It returns the error of
// ctx if requests were cut off.
func (l *Listener) Drain(ctx context.Context) error {
	l.Close() //nolint:errcheck // a second close has no effect
	tick := time.NewTicker(drainTick)
	defer tick.Stop()
	for l.CloseIdle() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			l.CloseConns()
			return ctx.Err()
		}
	}
	return nil
}

// CloseIdleFor closes the connections that were idle for longer than a limit.
func (l *Listener) CloseIdleFor(limit time.Duration) {
	since := time.Now().Add(-limit).UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.busy.Load() && c.idleSince.Load() < since {
			c.expire()
		}
	}
}

// trackedConn bounds the time of its writes and knows whether a request is in
// flight: from the first byte of the request to the first read after the
// answer.
type trackedConn struct {
	net.Conn
	listener *Listener
	busy     atomic.Bool
	wrote    atomic.Bool
	// idleSince is when the connection last became idle, in Unix nanoseconds.
	idleSince atomic.Int64
}

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// expire ends the wait for the next request, upon which the server closes the
// connection. A request that a Read has just taken is still served, which it
// would not be if the connection were closed here.
func (c *trackedConn) expire() {
	c.Conn.SetReadDeadline(longAgo) //nolint:errcheck // fails only on a closed connection
}

// Read reads into b.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.wrote.Load() && c.busy.Swap(false) {
		c.idleSince.Store(time.Now().UnixNano())
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
// and offers no hook for it, so such an answer can be replaced here.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.wrote.Store(true)
	if c.listener.rewrite != nil {
		if r := c.listener.rewrite(b); r != nil {
			if _, err := c.Conn.Write(r); err != nil {
				return 0, err
			}
			return len(b), nil
		}
	}
	return c.Conn.Write(b)
}

// plainTruncated is Hertz's answer to a malformed request.
var plainTruncated = []byte("HTTP/1.1 400 Bad Request\r\n\r\nError when parsing request")
