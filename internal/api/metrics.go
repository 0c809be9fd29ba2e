package api

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// NewMetrics returns a scope, the handler that serves its metrics in the
// Prometheus format, and a closer that stops the reporting.
func NewMetrics() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}, // a metric that cannot be registered is left out
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "baobabsill", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, time.Second)
	return scope, reporter.HTTPHandler(), closer
}
