// Package logs provides the queue in front of the log's output, the redirection of
// Hertz's log, and a logger for components that were given none.
package logs

import (
	"io"

	"github.com/phuslu/log"
)

// OrDiscard returns the logger, or one that drops all lines if it is nil.
func OrDiscard(logger *log.Logger) *log.Logger {
	if logger != nil {
		return logger
	}
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
