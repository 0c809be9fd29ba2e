package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/baobabsill/baobabsill/internal/edge"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/settings"
)

// serveEdge runs an instance on the users' platform.
func serveEdge(path string, stops signals) int {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s := load(path, settings.LoadEdge)
	lines := logs.NewQueue(os.Stdout)
	defer closeLog(lines)
	logger := newLogger(lines, s.LogLevel, s.Name)
	d, err := edge.New(logger, lines, s, path, hup)
	return runUntilSignal(logger, d, err, stops)
}
