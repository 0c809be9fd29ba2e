package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/baobabsill/baobabsill/internal/edge"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/settings"
)

// serveEdge runs the command edge until a stop signal. SIGHUP reloads the settings.
func serveEdge(path string, signals stopContexts) int {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s := load(path, settings.LoadEdge)
	logQueue := logs.NewQueue(os.Stdout)
	defer closeLog(logQueue)
	logger := newLogger(logQueue, s.LogLevel, s.Name)
	limitHeap(s.Memory)
	d, err := edge.New(logger, logQueue, s, path, reload)
	return runUntilSignal(logger, d, err, signals)
}
