// Package httpserver builds Hertz servers that read requests within bounds.
package httpserver

import (
	"context"
	"net"
	"time"

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
}

// Options of a server.
type Options struct {
	Listener *listener.Listener
	// Limits returns the limits in force.
	Limits func() Limits
	// ReadTimeout bounds the reading of one request, IdleTimeout the time between two
	// requests of a connection.
	ReadTimeout, IdleTimeout time.Duration
	// Hertz holds further options.
	Hertz []hertzconfig.Option
}

// New returns a server. The caller adds handlers and runs it.
func New(o Options) *server.Hertz {
	options := append([]hertzconfig.Option{
		server.WithListener(o.Listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(func(c net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, c.(*listener.Conn))
		}),
		server.WithReadTimeout(o.ReadTimeout),
		server.WithIdleTimeout(o.IdleTimeout),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
	}, o.Hertz...)
	h := server.New(options...)
	h.AddProtocol(suite.HTTP1, &serverFactory{options: h.GetOptions(), name: h.GetServerName(), limits: o.Limits})
	return h
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
	s.Core = core
	s.Option = http1.Option{
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
