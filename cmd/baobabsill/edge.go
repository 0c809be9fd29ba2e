package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/edge"
	"github.com/baobabsill/baobabsill/internal/settings"
)

// logQueue is the number of log lines that may wait for standard output. A line
// beyond it is dropped, because no request waits for its log.
const logQueue = 4096

// serveEdge runs an instance on the users' platform.
func serveEdge(path string) int {
	s := load(path, settings.LoadEdge)
	writer := &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	defer writer.Close() //nolint:errcheck // the process ends
	logger := &log.Logger{
		Level: log.ParseLevel(s.LogLevel), Writer: writer,
		Context: log.NewContext(nil).Str("instance", s.Name).Value(),
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	d, err := edge.New(logger, s, path, hup)
	return runUntilSignal(logger, d, err)
}
