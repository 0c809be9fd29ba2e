// Command baobabsill runs one instance of the query tier.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/daemon"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/release"
	"github.com/baobabsill/baobabsill/internal/settings"
	"github.com/baobabsill/baobabsill/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

func main() {
	// Signals are caught before anything else, since one that arrives during the
	// start would otherwise kill the process.
	signals := catchStopSignals()
	app := kingpin.New("baobabsill", "One instance of the baobabsill query tier.").Version(release.Version)
	runCommand := app.Command("run", "Serve until SIGTERM or SIGINT; a second signal cuts the graceful shutdown short.")
	runConfig := runCommand.Flag("config", "Settings file (INI).").Required().PlaceHolder("FILE").String()
	checkCommand := app.Command("check-config", "Check a settings file and open nothing.")
	checkConfig := checkCommand.Flag("config", "Settings file (INI).").Required().PlaceHolder("FILE").String()
	checkEdge := checkCommand.Flag("edge", "The settings are those of the command edge.").Bool()

	edgeCommand := app.Command("edge", "Serve on the users' platform until SIGTERM or SIGINT.")
	edgeConfig := edgeCommand.Flag("config", "Settings file (INI).").Envar(platform.SettingsEnv).Required().PlaceHolder("FILE").String()

	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "baobabsill: %v, try --help\n", err)
		os.Exit(exitBadInput)
	}
	switch command {
	case checkCommand.FullCommand():
		if *checkEdge {
			load(*checkConfig, settings.LoadEdge)
		} else {
			load(*checkConfig, settings.Load)
		}
		fmt.Printf("%s: ok\n", *checkConfig)
	case edgeCommand.FullCommand():
		os.Exit(serveEdge(*edgeConfig, signals))
	default:
		os.Exit(serve(load(*runConfig, settings.Load), signals))
	}
}

// load reads the settings. If there are faults, it prints them and exits with
// exitBadInput.
func load[T any](path string, read func(string) (T, []error)) T {
	s, faults := read(path)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	if len(faults) > 0 {
		os.Exit(exitBadInput)
	}
	return s
}

// serve runs the command run until a stop signal.
func serve(s settings.Settings, signals stopContexts) int {
	logQueue := logs.NewQueue(os.Stderr)
	defer closeLog(logQueue)
	logger := newLogger(logQueue, s.Log.Level, s.Instance.Name)
	limitHeap(s.Limits.Memory)
	d, err := daemon.New(logger, logQueue, s)
	return runUntilSignal(logger, d, err, signals)
}

func newLogger(logQueue *logs.Queue, level, instance string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: logQueue, Context: log.NewContext(nil).Str("instance", instance).Value()}
}

func closeLog(logQueue *logs.Queue) {
	if err := logQueue.Close(); err != nil {
		fmt.Fprintf(os.Stderr, "baobabsill: %v\n", err)
	}
}

// heapShare is the part, heapShare/8, of the memory of the process up to which the garbage
// collector lets the heap grow freely.
const heapShare = 7

// limitHeap tells the garbage collector of the memory of the process, in bytes. It does
// nothing if that is 0, for unknown.
func limitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(memory / 8 * heapShare)
	}
}

// runner is an instance of the command run or of the command edge.
type runner interface {
	Run(stop, force context.Context) error
}

// runUntilSignal runs an instance until a stop signal, unless creating it failed
// with err, and returns the exit code.
func runUntilSignal(logger *log.Logger, d runner, err error, signals stopContexts) int {
	if err != nil {
		logger.Error().Err(err).Msg("instance not started")
		return exitFailure
	}
	if err := d.Run(signals.stop, signals.force); err != nil {
		logger.Error().Err(err).Msg("instance failed")
		return exitFailure
	}
	return exitOK
}

// stopContexts holds the context that ends at the first stop signal and the one that
// ends at the second.
type stopContexts struct{ stop, force context.Context }

func catchStopSignals() stopContexts {
	caught := make(chan os.Signal, 2)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT)
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	go func() {
		<-caught
		cancelStop()
		<-caught
		cancelForce()
	}()
	return stopContexts{stop, force}
}
