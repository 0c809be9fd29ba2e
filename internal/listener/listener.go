// Package listener accepts the connections of callers for a Hertz server and
// tracks which of them have a request in flight.
package listener

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write, so that a caller that does not read its answer
// does not block a goroutine for longer.
const writeTimeout = 10 * time.Second

// Listener tracks its open connections, so that a shutdown can close idle ones
// instead of waiting for their callers. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// readTimeout bounds the first request of a connection. Hertz sets its
	// read timeout only from the second request on.
	readTimeout time.Duration
	// rewrite returns what is written in place of an answer, or nil to keep it. It
	// serves to replace the answers that Hertz itself gives to requests it cannot
	// read.
	rewrite func(answer []byte) []byte
	mu      sync.Mutex
	closed  bool // new connections are refused
	conns   map[*trackedConn]struct{}
}

// New returns a Listener on ln. rewrite may be nil.
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
	tracked := &trackedConn{Conn: c, listener: l}
	tracked.idleSince.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close() //nolint:errcheck // nothing was written
		return nil, net.ErrClosed
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// CloseConns closes all connections, also those with a request in flight. Later
// connections are refused.
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

// CloseIdle makes the server close the connections without a request in flight, and
// returns how many connections are still open. Later connections are refused.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		if !c.busy.Load() {
			c.interruptRead()
		}
	}
	return len(l.conns)
}

// drainInterval is the interval at which Drain closes connections that became idle.
const drainInterval = 5 * time.Millisecond

// Drain stops accepting connections and closes idle ones until none is left. When
// ctx ends first, it closes the others, whose requests are cut off, and returns the
// error of ctx.
func (l *Listener) Drain(ctx context.Context) error {
	l.Close() //nolint:errcheck // a second close has no effect
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for l.CloseIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.CloseConns()
			return ctx.Err()
		}
	}
	return nil
}

// CloseIdleLongerThan makes the server close the connections that have been idle
// for longer than limit.
func (l *Listener) CloseIdleLongerThan(limit time.Duration) {
	idleBefore := time.Now().Add(-limit).UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.busy.Load() && c.idleSince.Load() < idleBefore {
			c.interruptRead()
		}
	}
}

// trackedConn bounds the time of its writes and tracks whether it has a request in
// flight: from the first byte of the request to the first read after the answer.
type trackedConn struct {
	net.Conn
	listener *Listener
	busy     atomic.Bool // a request is in flight
	wrote    atomic.Bool // an answer was begun since the last read that returned data
	// idleSince is when the connection last became idle, in Unix nanoseconds.
	idleSince atomic.Int64
}

// expiredDeadline is a deadline in the past, which ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// interruptRead ends the wait for the next request, upon which the server closes the
// connection. Closing the connection here would lose a request that a concurrent
// Read has just received; this way it is still served.
func (c *trackedConn) interruptRead() {
	c.Conn.SetReadDeadline(expiredDeadline) //nolint:errcheck // fails only on a closed connection
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
// without an answer, so Close sends one.
func (c *trackedConn) Close() error {
	if c.busy.Load() && !c.wrote.Load() {
		c.Write(malformedAnswer) //nolint:errcheck // the peer may be gone
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Write writes b or what replaces it. Hertz answers requests that it cannot read
// with plain text and has no hook to change this, so it is changed here.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.wrote.Store(true)
	if c.listener.rewrite != nil {
		if replacement := c.listener.rewrite(b); replacement != nil {
			if _, err := c.Conn.Write(replacement); err != nil {
				return 0, err
			}
			return len(b), nil
		}
	}
	return c.Conn.Write(b)
}

// malformedAnswer is the answer that Hertz gives to a malformed request.
var malformedAnswer = []byte("HTTP/1.1 400 Bad Request\r\n\r\nError when parsing request")
