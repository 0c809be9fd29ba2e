// Package exchange runs HTTP exchanges. It rejects answers that HTTP does not allow, and
// tells, for exchanges that failed, whether any byte of the request may have left the
// process. If none has, the request cannot have run.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn is a connection that counts the bytes written to it and scans the heads of the
// answers. A transport and an Exchange use it concurrently.
type Conn struct {
	net.Conn
	written atomic.Int64
	writing atomic.Bool
	head    headScanner
}

// Read reads into b.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.head.scan(b[:n])
	return n, err
}

// Write writes b. It sets writing before the first byte leaves, so that a write in
// progress counts as sent too.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	c.writing.Store(false)
	return n, err
}

// DialFunc is the type of the DialContext function of an http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial returns a dial function whose connections are of type Conn.
func CountingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// Exchange tracks one request on its connection. The zero value is ready for use with
// one request, through a transport whose DialContext comes from CountingDial.
type Exchange struct {
	conn          *Conn
	writtenBefore int64
	// Reused is set if the connection has carried an earlier request.
	Reused bool
}

// RoundTrip sends the request through t and tracks it. If the head of the answer is
// malformed, it closes the connection and returns an error that wraps ErrMalformedHead;
// the request may have run then.
func (e *Exchange) RoundTrip(t *http.Transport, req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTrip(req.WithContext(e.withTracking(req.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, e.conn.head.found()); err != nil {
		e.Abort()
		resp.Body.Close() //nolint:errcheck // the connection is closed already
		return nil, err
	}
	return resp, nil
}

func (e *Exchange) withTracking(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		e.conn = info.Conn.(*Conn)
		e.writtenBefore, e.Reused = e.conn.written.Load(), info.Reused
		e.conn.head.start()
	}})
}

// Connected reports whether the request got a connection.
func (e *Exchange) Connected() bool { return e.conn != nil }

// Abort closes the connection, so that nothing more is written to it.
func (e *Exchange) Abort() {
	if e.conn != nil {
		e.conn.Close() //nolint:errcheck // the peer sees the close either way
	}
}

// MayHaveSent reports whether bytes of the request may have left the process. The
// result is final only after Abort.
func (e *Exchange) MayHaveSent() bool {
	return e.conn != nil && (e.conn.writing.Load() || e.conn.written.Load() != e.writtenBefore)
}

// emptyBody is an empty body that is not http.NoBody, which the transport would replay.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// ForbidReplay keeps http.Transport from resending the request on its own. The
// transport replays safe requests that have no body or whose body GetBody can return
// again. An empty body prevents this and does not change what is sent, because the
// transport reads from the body of a safe request before it sends the header.
func ForbidReplay(req *http.Request) {
	req.GetBody = nil
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions
	if safe && (req.Body == nil || req.Body == http.NoBody) {
		req.Body, req.ContentLength = emptyBody{}, 0
	}
}
