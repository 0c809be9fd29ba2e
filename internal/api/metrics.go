package api

import (
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/baobabsill/baobabsill/internal/logs"
)

// NewMetrics returns a scope, the handler that serves its metrics in the
// Prometheus format, and a closer that stops the reporting.
func NewMetrics(logger *log.Logger) (tally.Scope, http.Handler, io.Closer) {
	logger = logs.OrDiscard(logger)
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) {
			// For example, two metrics of one name with different labels.
			logger.Error().Err(err).Msg("a metric is left out")
		},
	})
	// Label values may have the punctuation that occurs in the names of outcomes
	// and targets.
	sanitize := promreporter.DefaultSanitizerOpts
	sanitize.ValueCharacters.Characters = []rune("_-.:/")
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "baobabsill", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &sanitize, OmitCardinalityMetrics: true,
	}, time.Second)
	return scope, reporter.HTTPHandler(), closer
}
