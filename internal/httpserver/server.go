// Package httpserver builds Hertz servers that read requests within bounds: the head,
// the body and the trailers of each request, and what all clients of a listener hold
// together.
package httpserver

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/baobabsill/baobabsill/internal/listener"
)

// Limits bound a single request, in bytes.
type Limits struct {
	// Head bounds the request line with the header fields, and the trailers.
	Head int
	Body int
}

// Options of a server.
type Options struct {
	Listener *listener.Listener
	// Limits returns the limits in force.
	Limits func() Limits
	// Refuse writes the answer to a request that is not served. It is called with 400,
	// 408, 413, 431 or 503. The connection is closed afterwards.
	Refuse func(c *app.RequestContext, status int)
	// ReadTimeout bounds the reading of one request, IdleTimeout the time between two
	// requests of a connection.
	ReadTimeout, IdleTimeout time.Duration
	// Hertz holds further options.
	Hertz []hertzconfig.Option
}

// New returns a server whose handlers find the whole body in the request. The caller adds
// handlers and runs it.
func New(o Options) *server.Hertz {
	options := append([]hertzconfig.Option{
		server.WithListener(o.Listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(func(c net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, c.(*listener.Conn))
		}),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(math.MaxInt), // readBody has the limit
		server.WithReadTimeout(o.ReadTimeout),
		server.WithIdleTimeout(o.IdleTimeout),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
	}, o.Hertz...)
	h := server.New(options...)
	h.AddProtocol(suite.HTTP1, &serverFactory{options: h.GetOptions(), name: h.GetServerName(), limits: o.Limits})
	h.Use(func(ctx context.Context, c *app.RequestContext) { serveWhole(ctx, c, o) })
	return h
}

// serveWhole reads the rest of a request and calls the next handlers, or refuses it.
func serveWhole(ctx context.Context, c *app.RequestContext, o Options) {
	conn := c.GetConn().(*conn)
	hadBody := c.Request.IsBodyStream()
	body, status := conn.readBody(c, o.Limits().Body)
	c.Request.SetBodyRaw(body) // also drops the stream, which Hertz would read to its end
	if status == 0 && !conn.raw.BeginServing() {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		conn.raw.Linger()
		c.SetConnectionClose()
		o.Refuse(c, status)
		c.Abort()
		return
	}
	if hadBody {
		// Hertz itself does so only for requests without a body stream.
		conn.DetectConnectionClose()
		defer func() {
			conn.AbortBlockingRead()
			c.Request.ResetBody()
			conn.dropBody()
		}()
	}
	c.Next(ctx)
}

type connKey struct{}

// serverFactory creates the server for HTTP/1 of a Hertz engine.
type serverFactory struct {
	options *hertzconfig.Options
	name    []byte
	limits  func() Limits
}

// New implements suite.ServerFactory.
func (f *serverFactory) New(core suite.Core) (protocol.Server, error) {
	s := http1.NewServer()
	s.Core = freshContexts{core}
	s.Option = http1.Option{
		StreamRequestBody:            f.options.StreamRequestBody,
		MaxRequestBodySize:           f.options.MaxRequestBodySize,
		DisablePreParseMultipartForm: f.options.DisablePreParseMultipartForm,
		NoDefaultServerHeader:        f.options.NoDefaultServerHeader,
		ServerName:                   f.name,
		ReadTimeout:                  f.options.ReadTimeout,
		IdleTimeout:                  f.options.IdleTimeout,
	}
	return &boundedServer{Server: s, limits: f.limits}, nil
}

// boundedServer gives each connection a bounded buffer.
type boundedServer struct {
	protocol.Server
	limits func() Limits
}

// Serve implements protocol.Server.
func (s *boundedServer) Serve(ctx context.Context, c network.Conn) error {
	raw := ctx.Value(connKey{}).(*listener.Conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return s.Server.Serve(ctx, newConn(c, raw, s.limits, cancel))
}

// freshContexts gives each connection a new request context. Those of the engine's pool
// keep the memory of the largest header that they ever held.
type freshContexts struct{ suite.Core }

// GetCtxPool returns a pool that no context comes back to.
func (f freshContexts) GetCtxPool() *sync.Pool { return &sync.Pool{New: f.Core.GetCtxPool().New} }
