// Package ingress serves callers over HTTP, tells the load balancer whether this
// instance is ready for them, and serves metrics and status to operators.
package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/forward"
	"github.com/baobabsill/baobabsill/internal/httpserver"
	"github.com/baobabsill/baobabsill/internal/listener"
	"github.com/baobabsill/baobabsill/internal/logs"
)

// Codec translates between HTTP messages and the forwarder's requests and answers.
type Codec interface {
	Decode(method, uri, host string, header http.Header, body []byte, arrived time.Time) *forward.Request
	Encode(a forward.Answer) (status int, header http.Header, body []byte)
}

// Forwarder answers decoded requests.
type Forwarder interface {
	Serve(ctx context.Context, req *forward.Request) forward.Answer
}

const (
	// readTimeout bounds the reading of one request. For the first request of a
	// connection, it includes the wait for the request.
	readTimeout = 15 * time.Second
	// idleTimeout bounds the time between two requests of a connection, unless the
	// configuration sets a shorter one.
	idleTimeout = 5 * time.Minute
	// maxBodyBytes and maxHeaderBytes bound a request while the configuration sets no
	// lower limits.
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 256 << 10
	// headerLimitFactor and requestLineBytes allow for what the limit of the
	// configuration does not count of a head: white space and the request line.
	headerLimitFactor = 2
	requestLineBytes  = 8 << 10
	// retryAfter is what a caller is told for whom there is no room, in seconds. The
	// clients that hold the room give way within less.
	retryAfter = 1
	// idleCheckInterval is how often connections are checked for the idle timeout
	// of the configuration.
	idleCheckInterval = time.Second
	// idleTimeoutFactor is the multiple of the configured idle timeout after which
	// a connection is closed: callers may still use the timeout of an earlier
	// version.
	idleTimeoutFactor = 2
)

// Limits bound the requests of callers and how long a connection may be idle. Zero
// means no bound here.
type Limits struct {
	HeaderBytes, BodyBytes int
	Idle                   time.Duration
}

// Server serves callers over HTTP. Run is called once. From AnnounceClose on it
// is draining: each answer closes its connection.
type Server struct {
	logger    *log.Logger
	listener  *listener.Listener
	codec     Codec
	forwarder Forwarder
	limits    func() Limits
	draining  atomic.Bool
	engine    *server.Hertz
}

// NewServer returns a Server that listens on an IP:port. budget bounds what all callers
// hold, and limits returns the limits in force.
func NewServer(logger *log.Logger, address string, budget *admission.Budget, codec Codec, forwarder Forwarder, limits func() Limits) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	logs.RedirectHertz(logger)
	s := &Server{
		logger: logger, codec: codec, forwarder: forwarder, limits: limits,
		listener: listener.New(admission.NewListener(logger, ln, budget, httpserver.ConnBytes),
			listener.Options{ReadTimeout: readTimeout, Overloaded: overloadedAnswer}),
	}
	s.engine = newEngine(logger, s.listener, s.readLimits, readTimeout, idleTimeout)
	s.engine.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.handlePanic)), s.serve)
	s.engine.NoRoute(func(context.Context, *app.RequestContext) {})
	return s, nil
}

// overloadedAnswer is that to a request whose head finds no room.
var overloadedAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + strconv.Itoa(retryAfter) +
	"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

func newEngine(logger *log.Logger, ln *listener.Listener, limits func() httpserver.Limits, readTimeout, idleTimeout time.Duration) *server.Hertz {
	return httpserver.New(httpserver.Options{
		Listener: ln, Limits: limits, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Refuse: func(c *app.RequestContext, status int) {
			logger.Info().Str("event", "refused").Str("listener", ln.Name()).Int("status", status).
				Msg("a request that could not be read was refused")
			refuse(c, status)
		},
		Hertz: []hertzconfig.Option{
			{F: func(o *hertzconfig.Options) { o.NoDefaultServerHeader = true }},
			server.WithExitWaitTime(0),
		},
	})
}

func refuse(c *app.RequestContext, status int) {
	c.SetStatusCode(status)
	if status == http.StatusServiceUnavailable {
		c.Header("Retry-After", strconv.Itoa(retryAfter))
	}
}

// readLimits returns the limits for the reading of a request.
func (s *Server) readLimits() httpserver.Limits {
	in, out := s.limits(), httpserver.Limits{Head: maxHeaderBytes, Body: maxBodyBytes}
	if in.HeaderBytes > 0 {
		out.Head = min(out.Head, headerLimitFactor*in.HeaderBytes+requestLineBytes)
	}
	if in.BodyBytes > 0 {
		out.Body = min(out.Body, in.BodyBytes)
	}
	return out
}

// Run serves until Drain is called or ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close() //nolint:errcheck // a second close has no effect
		s.listener.CloseConns()
	})
	defer stop()
	go s.closeIdleConns(ctx)
	return s.engine.Run()
}

func (s *Server) closeIdleConns(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if idle := s.limits().Idle; idle > 0 {
				s.listener.CloseIdleLongerThan(idleTimeoutFactor * idle)
			}
		}
	}
}

// AnnounceClose makes each further answer close its connection.
func (s *Server) AnnounceClose() { s.draining.Store(true) }

// Drain stops accepting connections and waits for the requests in flight. If ctx
// ends first, it cuts them off and returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error { return s.listener.Drain(ctx) }

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	arrived := time.Now()
	defer c.Abort()
	if s.draining.Load() {
		c.SetConnectionClose()
	}
	header := http.Header{}
	headerBytes := 0
	c.Request.Header.VisitAll(func(k, v []byte) {
		header.Add(string(k), string(v))
		headerBytes += len(k) + len(v) + len(": \r\n")
	})
	if status := s.refusalStatus(c, headerBytes); status != 0 {
		c.SetConnectionClose()
		c.SetStatusCode(status)
		return
	}
	req := s.codec.Decode(string(c.Request.Header.Method()), string(c.Request.Header.RequestURI()),
		string(c.Request.Header.Host()), header, c.Request.Body(), arrived)
	a := s.forwarder.Serve(ctx, req)
	if a.Code == forward.Abandoned {
		c.SetConnectionClose()
		return
	}
	status, answerHeader, body := s.codec.Encode(a)
	c.Response.SetStatusCode(status)
	c.Response.Header.SetNoDefaultContentType(true)
	for name, values := range answerHeader {
		for _, v := range values {
			c.Response.Header.Add(name, v)
		}
	}
	c.Response.SetBodyRaw(body)
}

// refusalStatus returns the status with which a request is refused for its head, or 0 if
// it is not refused.
func (s *Server) refusalStatus(c *app.RequestContext, headerBytes int) int {
	limits := s.limits()
	switch {
	case ambiguousFraming(c.Request.Header.RawHeaders()):
		return http.StatusBadRequest
	case limits.HeaderBytes > 0 && headerBytes > limits.HeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}

func (s *Server) handlePanic(_ context.Context, c *app.RequestContext, err any, stack []byte) {
	s.logger.Error().Any("panic", err).Bytes("stack", stack).Str("path", string(c.Path())).Msg("panic in handler")
	c.SetStatusCode(http.StatusBadGateway)
	c.Abort()
}
