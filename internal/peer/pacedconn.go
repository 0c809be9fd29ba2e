package peer

import (
	"net"
	"runtime"
	"sync"

	"github.com/baobabsill/baobabsill/internal/admission"
)

// pacedListener accepts connections whose reads wait for their writes.
type pacedListener struct{ *admission.Listener }

// Accept returns the next connection, a *pacedConn.
func (l pacedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pacedConn{Conn: c.(*admission.Conn)}, nil
}

// pacedConn reads nothing while a write is blocked, and lets other goroutines write before
// it reads. The server of HTTP/2 queues the answers to pings and settings that a client
// sends faster than they can be written.
type pacedConn struct {
	*admission.Conn
	writing sync.Mutex
}

// Read waits for the write in progress and reads into b.
func (c *pacedConn) Read(b []byte) (int, error) {
	c.writing.Lock()
	//lint:ignore SA2001 only the wait matters
	c.writing.Unlock()
	runtime.Gosched()
	return c.Conn.Read(b)
}

// Write writes b.
func (c *pacedConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.Conn.Write(b)
}
