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
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/httpserver"
	"github.com/baobabsill/baobabsill/internal/listener"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/status"
)

// Searcher runs the searches of callers.
type Searcher interface {
	Search(ctx context.Context, req gateway.SearchRequest) gateway.SearchReply
}

// OperationExecutor runs operations at most once and looks up their outcomes.
type OperationExecutor interface {
	Run(ctx context.Context, key, operation string, body []byte, deadline time.Time, requestID string) outcome.Result
	LookUpOutcome(ctx context.Context, key string) outcome.Result
	// IssueKey returns a key that names this instance, or false while the instance
	// stops.
	IssueKey() (string, bool)
}

// StatusSource provides the status document of the instance.
type StatusSource interface {
	Status() status.Document
}

// Options are the settings of a Server. Zero values mean the defaults.
type Options struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// MaxBodyBytes limits the size of a request body, by default 1 MiB.
	MaxBodyBytes int
	// DefaultDeadline is the time limit of requests that give none, by default 2 s.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest time limit that a request may give, by default
	// 30 s.
	MaxDeadline time.Duration
	// ReadTimeout limits the time in which a request has to arrive, counted from
	// the start of the connection or the end of its idle time, by default 5 s.
	ReadTimeout time.Duration
	// IdleTimeout limits the time between the requests of a connection, by default
	// 60 s.
	IdleTimeout time.Duration
	// Metrics serves /metrics. Without it the path returns 404.
	Metrics http.Handler
	// Budget bounds what all callers hold, by default what a process of the default size
	// gives them.
	Budget *admission.Budget
}

// maxHeaderBytes limits the size of the head of a request.
const maxHeaderBytes = 256 << 10

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
	if o.Budget == nil {
		o.Budget = admission.NewBudget("callers", admission.Divide(admission.Resources{}).Callers)
	}
	return o
}

// Server serves callers and operators. Its methods are safe for concurrent
// use; Run is called once.
type Server struct {
	logger   *log.Logger
	options  Options
	searcher Searcher
	executor OperationExecutor
	status   StatusSource

	mu       sync.Mutex
	listener *listener.Listener
	engine   *server.Hertz
}

// NewServer returns a Server. It also redirects Hertz's own log, which is global
// to the process, to logger.
func NewServer(logger *log.Logger, options Options, searcher Searcher, executor OperationExecutor, status StatusSource) *Server {
	logger = logs.OrDiscard(logger)
	logs.RedirectHertz(logger)
	return &Server{logger: logger, options: options.withDefaults(), searcher: searcher, executor: executor, status: status}
}

// Listen opens the listener, so that callers can connect before Run. Run calls
// Listen if it was not called.
func (s *Server) Listen() (net.Addr, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		ln, err := net.Listen("tcp", s.options.Listen)
		if err != nil {
			return nil, err
		}
		s.listener = listener.New(admission.NewListener(s.logger, ln, s.options.Budget, httpserver.ConnBytes),
			listener.Options{ReadTimeout: s.options.ReadTimeout, Rewrite: rewriteHertzRefusal, Overloaded: overloadedReply()})
	}
	return s.listener.Addr(), nil
}

// Run serves until Shutdown is called or ctx ends. If ctx ends, all connections
// are closed immediately.
func (s *Server) Run(ctx context.Context) error {
	if _, err := s.Listen(); err != nil {
		return err
	}
	limits := httpserver.Limits{Head: maxHeaderBytes, Body: s.options.MaxBodyBytes}
	h := httpserver.New(httpserver.Options{
		Listener: s.listener, Limits: func() httpserver.Limits { return limits }, Refuse: s.refuseUnread,
		ReadTimeout: s.options.ReadTimeout, IdleTimeout: s.options.IdleTimeout,
		Hertz: []hertzconfig.Option{
			server.WithHandleMethodNotAllowed(true),
			server.WithExitWaitTime(24 * time.Hour), // the context of Shutdown ends the wait
		},
	})
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.handlePanic)))
	s.registerRoutes(h)
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

// Shutdown stops accepting connections, closes idle ones, waits until the
// requests in flight have ended or ctx ends, and closes the other connections.
// It returns the error of ctx if requests were aborted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	ln, h := s.listener, s.engine
	s.mu.Unlock()
	if ln == nil {
		return nil
	}
	if h != nil {
		// From here on, Hertz closes a connection after its answer.
		go h.Shutdown(ctx) //nolint:errcheck // Drain waits for the connections
	}
	return ln.Drain(ctx)
}

func (s *Server) registerRoutes(h *server.Hertz) {
	h.POST("/v1/search", s.search)
	h.POST("/v1/execute", s.execute)
	h.POST("/v1/keys", s.issueKey)
	h.GET("/v1/outcomes/:key", s.lookUpOutcome)
	h.GET("/healthz", s.healthz)
	h.GET("/readyz", s.readyz)
	h.GET("/status", s.serveStatus)
	h.GET("/metrics", adaptor.HertzHandler(s.options.Metrics))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, http.StatusNotFound, "", refusal{outcome.ReasonNotFound, "no such path"})
	})
	h.NoMethod(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, http.StatusMethodNotAllowed, "", refusal{outcome.ReasonMalformed, "method not allowed for this path"})
	})
}

func (s *Server) handlePanic(_ context.Context, c *app.RequestContext, err any, stack []byte) {
	s.logger.Error().Any("panic", err).Bytes("stack", stack).Str("path", string(c.Path())).Msg("panic in handler")
	writeReply(c, http.StatusInternalServerError, Reply{Outcome: string(outcome.Unknown), Message: "internal error"})
	c.Abort()
}
