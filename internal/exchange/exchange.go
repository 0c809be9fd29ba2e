// Package exchange runs HTTP exchanges of which the caller has to know whether
// any byte of the request may have left the process.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn counts the bytes written to a connection.
type Conn struct {
	net.Conn
	written atomic.Int64
	writing atomic.Bool
}

// Write writes b. It marks the connection as used before the first byte leaves.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	c.writing.Store(false)
	return n, err
}

// Dial is the type of the dial function of an http.Transport.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counted makes a transport dial connections of the type Conn.
func Counted(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// Exchange follows one request on its connection. The zero value is ready for
// one request of a transport that dials with Counted.
type Exchange struct {
	conn   *Conn
	before int64
	// Reused is set if the connection carried an earlier request.
	Reused bool
}

// Trace returns a context under which the request has to be sent.
func (e *Exchange) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		e.conn = info.Conn.(*Conn)
		e.before, e.Reused = e.conn.written.Load(), info.Reused
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

// Sent reports whether bytes of the request may have left the process. After
// Abort the result is final.
func (e *Exchange) Sent() bool {
	return e.conn != nil && (e.conn.writing.Load() || e.conn.written.Load() != e.before)
}

// emptyBody is a body without bytes that is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// ForbidReplay keeps http.Transport from sending the request a second time by
// itself. The transport replays safe requests without a body, and those whose
// body it can get again. It looks into the body of a safe request before it
// sends one, so that an empty body adds nothing to the request.
func ForbidReplay(req *http.Request) {
	req.GetBody = nil
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions
	if safe && (req.Body == nil || req.Body == http.NoBody) {
		req.Body, req.ContentLength = emptyBody{}, 0
	}
}
