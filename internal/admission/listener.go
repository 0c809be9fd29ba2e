package admission

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failed Accept.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Listener accepts connections within a Budget. Accept does not fail before the listener
// is closed.
type Listener struct {
	net.Listener
	logger *log.Logger
	budget *Budget
	// connBytes is what a connection holds before its first request.
	connBytes int64
	// CloseEvicted closes connections that give way. Otherwise only their reads time out,
	// so that the server can still answer.
	CloseEvicted bool
}

// NewListener returns a Listener on ln. connBytes is what a connection holds before its
// first request.
func NewListener(logger *log.Logger, ln net.Listener, budget *Budget, connBytes int64) *Listener {
	return &Listener{Listener: ln, logger: logger, budget: budget, connBytes: connBytes}
}

// Name returns the name of the listener in logs and metrics.
func (l *Listener) Name() string { return l.budget.Name() }

// Accept returns the next connection, a *Conn. Without a free descriptor it closes the
// connection that has waited the longest, and tries again. The error is that of a closed
// listener.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			evicted := l.budget.EvictConn()
			l.logger.Warn().Str("event", "accept").Str("listener", l.Name()).Err(err).Bool("evicted", evicted).
				Msg("a connection could not be accepted")
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		conn, ok := l.admit(c)
		if ok {
			return conn, nil
		}
		c.Close() //nolint:errcheck // nothing was read or written
	}
}

func (l *Listener) admit(c net.Conn) (*Conn, bool) {
	conn := &Conn{Conn: c}
	evict := conn.expire
	if l.CloseEvicted {
		evict = func() { c.Close() } //nolint:errcheck // the peer sees the close either way
	}
	lease, ok := l.budget.AdmitConn(l.connBytes, evict)
	conn.lease = lease
	return conn, ok
}

// Conn is a connection with its lease, which Close releases.
type Conn struct {
	net.Conn
	lease   *Lease
	expired atomic.Bool
	closing sync.Once
}

// Lease returns what the connection holds.
func (c *Conn) Lease() *Lease { return c.lease }

// expiredDeadline is a deadline in the past, which ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// InterruptRead ends the current read with a timeout, and later ones until the next
// deadline is set.
func (c *Conn) InterruptRead() {
	c.Conn.SetReadDeadline(expiredDeadline) //nolint:errcheck // fails only on a closed connection
}

// expire ends the current read and all later ones with a timeout, upon which the server
// closes the connection.
func (c *Conn) expire() {
	c.expired.Store(true)
	c.InterruptRead()
}

// SetReadDeadline sets the deadline of reads, unless the connection has been evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.expired.Load() {
		return c.Conn.SetReadDeadline(expiredDeadline)
	}
	return err
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close closes the connection and releases its lease.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(c.lease.Release)
	return err
}
