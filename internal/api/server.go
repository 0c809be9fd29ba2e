// Package api serves callers and operators over HTTP.
package api

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/listener"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/status"
)

// Searcher answers searches.
type Searcher interface {
	Search(ctx context.Context, req gateway.SearchRequest) gateway.SearchReply
}

// Once runs operations at most once and settles their outcomes.
type Once interface {
	Run(ctx context.Context, key, operation string, body []byte, deadline time.Time, requestID string) outcome.Result
	Settle(ctx context.Context, key string) outcome.Result
	// IssueKey returns a key that names this instance, or false while it stops.
	IssueKey() (string, bool)
}

// StatusSource gives the view of the instance.
type StatusSource interface {
	Status() status.Document
}

// Options are the settings of a Server. Zero values mean the defaults.
type Options struct {
	// Listen is the IP address and port.
	Listen string
	// MaxBodyBytes bounds a request body, by default 1 MiB.
	MaxBodyBytes int
	// DefaultDeadline applies to requests without one, by default 2 s.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest deadline of a request, by default 30 s.
	MaxDeadline time.Duration
	// ReadTimeout bounds the time from the first byte of a connection, or the
	// end of its idle time, to the end of the request, by default 5 s.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time between requests, by default 60 s.
	IdleTimeout time.Duration
	// Metrics serves /metrics.
	Metrics http.Handler
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = 1 << 20
	}
	if o.DefaultDeadline <= 0 {
		o.DefaultDeadline = 2 * time.Second
	}
	if o.MaxDeadline <= 0 {
		o.MaxDeadline = 30 * time.Second
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = 5 * time.Second
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 60 * time.Second
	}
	if o.Metrics == nil {
		o.Metrics = http.NotFoundHandler()
	}
	return o
}

// Server serves callers and operators. Its methods are safe for concurrent
// use; Run is called once.
type Server struct {
	logger   *log.Logger
	o        Options
	searcher Searcher
	once     Once
	status   StatusSource

	mu       sync.Mutex
	listener *listener.Listener
	engine   *server.Hertz
}

// NewServer returns a Server. It makes logger the destination of Hertz's own
// log, which is one per process.
func NewServer(logger *log.Logger, o Options, searcher Searcher, once Once, status StatusSource) *Server {
	logger = logs.OrDiscard(logger)
	logs.RedirectHertz(logger)
	return &Server{logger: logger, o: o.withDefaults(), searcher: searcher, once: once, status: status}
}

// Listen binds the address, so that callers can connect before Run. Run calls
// it if it was not called.
func (s *Server) Listen() (net.Addr, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		ln, err := net.Listen("tcp", s.o.Listen)
		if err != nil {
			return nil, err
		}
		s.listener = listener.New(ln, s.o.ReadTimeout, readRefusal)
	}
	return s.listener.Addr(), nil
}

// Run serves until Shutdown is called or ctx ends. When ctx ends, connections
// are closed at once.
func (s *Server) Run(ctx context.Context) error {
	if _, err := s.Listen(); err != nil {
		return err
	}
	h := server.New(
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(s.o.MaxBodyBytes),
		server.WithReadTimeout(s.o.ReadTimeout),
		server.WithIdleTimeout(s.o.IdleTimeout),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithExitWaitTime(24*time.Hour), // the context of Shutdown is the bound
	)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.recovered)))
	s.routes(h)
	s.mu.Lock()
	s.engine = h
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close() //nolint:errcheck // a second close has no effect
		s.listener.CloseConns()
	})
	defer stop()
	return h.Run()
}

// Shutdown stops accepting connections, closes idle ones, waits until requests
// in flight have ended or ctx ends, and closes the rest. It returns the error
// of ctx if requests were cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	ln, h := s.listener, s.engine
	s.mu.Unlock()
	if ln == nil {
		return nil
	}
	if h != nil {
		// From here on, Hertz closes a connection after its answer.
		go h.Shutdown(ctx) //nolint:errcheck // the connections tell when it is done
	}
	return ln.Drain(ctx)
}

func (s *Server) routes(h *server.Hertz) {
	h.POST("/v1/search", s.search)
	h.POST("/v1/execute", s.execute)
	h.POST("/v1/keys", s.issueKey)
	h.GET("/v1/outcomes/:key", s.settle)
	h.GET("/healthz", s.healthz)
	h.GET("/readyz", s.readyz)
	h.GET("/status", s.serveStatus)
	h.GET("/metrics", adaptor.HertzHandler(s.o.Metrics))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, http.StatusNotFound, "", refusal{outcome.ReasonNotFound, "no such path"})
	})
	h.NoMethod(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, http.StatusMethodNotAllowed, "", refusal{outcome.ReasonMalformed, "method not allowed for this path"})
	})
}

func (s *Server) recovered(_ context.Context, c *app.RequestContext, err any, stack []byte) {
	s.logger.Error().Any("panic", err).Bytes("stack", stack).Str("path", string(c.Path())).Msg("panic in handler")
	writeReply(c, http.StatusInternalServerError, Reply{Outcome: string(outcome.Unknown), Message: "internal error"})
	c.Abort()
}
