// Package listener accepts the connections of callers for a Hertz server and
// tracks which of them have a request in flight.
package listener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/admission"
)

// Listener tracks its open connections, so that a shutdown can close idle ones
// instead of waiting for their callers. It is safe for concurrent use.
type Listener struct {
	*admission.Listener
	options Options
	mu      sync.Mutex
	closed  bool // new connections are refused
	conns   map[*Conn]struct{}
}

// Options of a Listener.
type Options struct {
	// ReadTimeout bounds the first request of a connection. Hertz sets its read
	// timeout only from the second request on.
	ReadTimeout time.Duration
	// Rewrite returns what is written in place of an answer, or nil to keep it. It
	// serves to replace the answers that Hertz itself gives to requests it cannot read.
	Rewrite func(answer []byte) []byte
	// Overloaded is the answer to a request for which there is no room.
	Overloaded []byte
}

// New returns a Listener on ln.
func New(ln *admission.Listener, options Options) *Listener {
	return &Listener{Listener: ln, options: options, conns: map[*Conn]struct{}{}}
}

// Accept returns the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(l.options.ReadTimeout)) //nolint:errcheck // fails only on a closed connection
	tracked := &Conn{Conn: c.(*admission.Conn), listener: l}
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
	l.conns = map[*Conn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		c.Conn.Close() //nolint:errcheck // the peer sees the close either way
	}
}

// CloseIdle makes the server close the connections without a request in flight, and
// returns how many connections are still open. Later connections are refused. It ends the
// wait for the next request: a close would lose one that a concurrent Read has just
// received, and this way it is still served.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		if !c.busy.Load() {
			c.InterruptRead()
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
			c.InterruptRead()
		}
	}
}
