package listener

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/admission"
)

// writeTimeout bounds one write, so that a caller that does not read its answer
// does not block a goroutine for longer.
const writeTimeout = 10 * time.Second

const (
	// lingerTimeout and lingerBytes bound what is read and dropped after a refusal. A
	// close with unread bytes would reset the connection, and the caller could lose the
	// answer.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 1 << 20
)

// Conn bounds the time of its writes and tracks whether it has a request in flight: from
// the first byte of the request to the first read after the answer.
type Conn struct {
	*admission.Conn
	listener   *Listener
	busy       atomic.Bool // a request is in flight
	wrote      atomic.Bool // an answer was begun since the last read that returned data
	serving    atomic.Bool // between BeginServing and the first read after the answer
	overloaded atomic.Bool // see RefuseOverloaded
	lingers    atomic.Bool // see Linger
	// idleSince is when the connection last became idle, in Unix nanoseconds.
	idleSince atomic.Int64
}

// BeginServing has to be called once a request is whole. It returns false if the caller
// has had to give way to others, so that the request must not be served.
func (c *Conn) BeginServing() bool {
	return c.serving.Load() || c.Lease().BeginServing() && !c.serving.Swap(true)
}

// RefuseOverloaded replaces the next answer by that to a request for which there is no
// room.
func (c *Conn) RefuseOverloaded() { c.overloaded.Store(true) }

// Linger makes Close wait shortly for the end of what the caller sends.
func (c *Conn) Linger() { c.lingers.Store(true) }

// Read reads into b.
func (c *Conn) Read(b []byte) (int, error) {
	if c.wrote.Load() && c.busy.Swap(false) {
		c.idleSince.Store(time.Now().UnixNano())
		if c.serving.Swap(false) {
			c.Lease().EndServing()
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.wrote.Store(false)
		if !c.busy.Swap(true) {
			c.Lease().Renew()
		}
	}
	return n, err
}

// Close closes the connection. Hertz drops a request whose body ends too early
// without an answer, so Close sends one.
func (c *Conn) Close() error {
	if c.busy.Load() && !c.wrote.Load() {
		c.Write(malformedAnswer) //nolint:errcheck // the peer may be gone
	}
	if c.lingers.Load() {
		c.linger()
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// linger closes the sending side and drops what the caller still sends, within bounds.
func (c *Conn) linger() {
	tcp, ok := c.Conn.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	io.CopyN(io.Discard, tcp, lingerBytes) //nolint:errcheck // ends with the deadline at the latest
}

// Write writes b or what replaces it. Hertz answers requests that it cannot read
// with plain text and has no hook to change this, so it is changed here.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.wrote.Store(true)
	if replacement := c.replacement(b); replacement != nil {
		if _, err := c.Conn.Write(replacement); err != nil {
			return 0, err
		}
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// replacement returns what is written in place of b, or nil.
func (c *Conn) replacement(b []byte) []byte {
	if c.overloaded.Swap(false) && c.listener.options.Overloaded != nil {
		return c.listener.options.Overloaded
	}
	if c.listener.options.Rewrite != nil {
		return c.listener.options.Rewrite(b)
	}
	return nil
}

// malformedAnswer is the answer that Hertz gives to a malformed request.
var malformedAnswer = []byte("HTTP/1.1 400 Bad Request\r\n\r\nError when parsing request")
