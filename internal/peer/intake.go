package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/admission"
)

const (
	// connBytes is what a connection holds before its first call: its buffers, the
	// tables of HPACK and its goroutines.
	connBytes = 48 << 10
	// callBytes is what a call holds before its body: its header and its goroutine.
	callBytes = 16 << 10
	// bodyCopies is how often the bytes of a body are held while it is read and decoded.
	bodyCopies = 3
	// retryAfter is what a peer is told for whose call there is no room, in seconds.
	retryAfter = "1"
)

// intake bounds what the calls of all peers hold before their requests are whole.
type intake struct {
	budget *admission.Budget
	next   http.Handler
}

type connKey struct{}

// withConn is the ConnContext of a server whose connections come from a pacedListener.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP passes a call on whose body is read within the budget.
func (i *intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &call{conn: r.Context().Value(connKey{}).(*pacedConn).Lease(), controller: http.NewResponseController(w)}
	lease, ok := i.budget.AdmitRequest(callBytes, call.evict)
	if !ok {
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call.lease = lease
	defer call.end()
	r.Body = &chargedBody{ReadCloser: http.MaxBytesReader(w, r.Body, i.maxBodyBytes()), call: call}
	i.next.ServeHTTP(w, r)
}

// maxBodyBytes bounds a body by what the budget has for a single call.
func (i *intake) maxBodyBytes() int64 {
	return min(maxRequestBytes, (i.budget.Limits().Bytes-connBytes-callBytes)/bodyCopies)
}

// call is a call with what it holds.
type call struct {
	conn, lease *admission.Lease // conn is that of the connection
	whole       bool             // its request was read to the end

	mu         sync.Mutex
	ended      bool
	controller *http.ResponseController // not used once the call has ended
}

// evict ends the reading of the request.
func (c *call) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.controller.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed stream
	}
}

// beginServing keeps the call and its connection from giving way to others.
func (c *call) beginServing() {
	c.whole = c.lease.BeginServing() && c.conn.BeginServing()
}

func (c *call) end() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	if c.whole {
		c.conn.EndServing()
	}
	c.lease.Release()
}

// chargedBody charges what is read of a body, and marks its call as served at its end.
type chargedBody struct {
	io.ReadCloser
	call *call
	read int64 // bytes
	once sync.Once
}

// Read reads into p.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.read += int64(n)
		if !b.call.lease.Resize(callBytes + bodyCopies*b.read) {
			return 0, errNoRoom
		}
	}
	if errors.Is(err, io.EOF) {
		b.once.Do(b.call.beginServing)
		if !b.call.whole {
			return 0, errNoRoom // the call has given way to others
		}
	}
	return n, err
}
