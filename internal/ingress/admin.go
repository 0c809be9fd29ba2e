package ingress

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/httpserver"
	"github.com/baobabsill/baobabsill/internal/listener"
)

const (
	// adminReadTimeout and adminIdleTimeout bound the reading of one request and the
	// time between two requests of a connection.
	adminReadTimeout = 5 * time.Second
	adminIdleTimeout = time.Minute
)

// adminLimits bound the requests of balancers and operators, which have no body.
var adminLimits = httpserver.Limits{Head: 16 << 10, Body: 64 << 10}

// Admin is an HTTP server for the load balancer or for operators.
type Admin struct {
	listener net.Listener
	engine   *server.Hertz
}

// AdminOptions sets what an Admin serves. A path whose function or handler is nil
// is not served.
type AdminOptions struct {
	// Ready decides the status at ReadyPath: 200 if it returns true, else 503.
	ReadyPath string
	Ready     func() bool
	// Metrics is served at /metrics.
	Metrics http.Handler
	// Status is served at /status as JSON.
	Status func() any
}

// NewAdmin returns an Admin that listens on an IP:port. budget bounds what its clients
// hold.
func NewAdmin(logger *log.Logger, address string, budget *admission.Budget, o AdminOptions) (*Admin, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := listener.New(admission.NewListener(logger, ln, budget, httpserver.ConnBytes),
		listener.Options{ReadTimeout: adminReadTimeout, Overloaded: overloadedAnswer})
	a := &Admin{listener: ln, engine: newEngine(logger, bounded, func() httpserver.Limits { return adminLimits }, adminReadTimeout, adminIdleTimeout)}
	if o.Ready != nil {
		a.engine.GET(o.ReadyPath, func(_ context.Context, c *app.RequestContext) {
			status := http.StatusOK
			if !o.Ready() {
				status = http.StatusServiceUnavailable
			}
			c.SetStatusCode(status)
		})
	}
	if o.Metrics != nil {
		a.engine.GET("/metrics", adaptor.HertzHandler(o.Metrics))
	}
	if o.Status != nil {
		a.engine.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, o.Status()) })
	}
	return a, nil
}

// Run serves until ctx ends.
func (a *Admin) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		a.listener.Close() //nolint:errcheck // a second close has no effect
	})
	defer stop()
	return a.engine.Run()
}
