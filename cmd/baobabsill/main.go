// Command baobabsill runs one instance of the query tier.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
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
	stops := catchSignals() // first, since a signal would end a process that starts
	app := kingpin.New("baobabsill", "One instance of the baobabsill query tier.").Version(release.Version)
	run := app.Command("run", "Serve until SIGTERM or SIGINT; a second signal cuts the graceful shutdown short.")
	runConfig := run.Flag("config", "Settings file (INI).").Required().PlaceHolder("FILE").String()
	check := app.Command("check-config", "Check a settings file and open nothing.")
	checkConfig := check.Flag("config", "Settings file (INI).").Required().PlaceHolder("FILE").String()
	checkEdge := check.Flag("edge", "The settings are those of the command edge.").Bool()

	edgeCommand := app.Command("edge", "Serve on the users' platform until SIGTERM or SIGINT.")
	edgeConfig := edgeCommand.Flag("config", "Settings file (INI).").Envar(platform.SettingsEnv).Required().PlaceHolder("FILE").String()

	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "baobabsill: %v, try --help\n", err)
		os.Exit(exitBadInput)
	}
	switch command {
	case check.FullCommand():
		if *checkEdge {
			load(*checkConfig, settings.LoadEdge)
		} else {
			load(*checkConfig, settings.Load)
		}
		fmt.Printf("%s: ok\n", *checkConfig)
	case edgeCommand.FullCommand():
		os.Exit(serveEdge(*edgeConfig, stops))
	default:
		os.Exit(serve(load(*runConfig, settings.Load), stops))
	}
}

// load reads the settings and ends the process if there is any fault.
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

func serve(s settings.Settings, stops signals) int {
	lines := logs.NewQueue(os.Stderr)
	defer closeLog(lines)
	logger := newLogger(lines, s.Log.Level, s.Instance.Name)
	d, err := daemon.New(logger, lines, s)
	return runUntilSignal(logger, d, err, stops)
}

func newLogger(lines *logs.Queue, level, instance string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: lines, Context: log.NewContext(nil).Str("instance", instance).Value()}
}

func closeLog(lines *logs.Queue) {
	if err := lines.Close(); err != nil {
		fmt.Fprintf(os.Stderr, "baobabsill: %v\n", err)
	}
}

// runner is an instance of either kind.
type runner interface {
	Run(stop, force context.Context) error
}

// runUntilSignal runs an instance, unless it could not be made, and returns the
// exit code.
func runUntilSignal(logger *log.Logger, d runner, err error, stops signals) int {
	if err != nil {
		logger.Error().Err(err).Msg("instance not started")
		return exitFailure
	}
	if err := d.Run(stops.stop, stops.force); err != nil {
		logger.Error().Err(err).Msg("instance failed")
		return exitFailure
	}
	return exitOK
}

// signals are contexts that end at the first and at the second signal to stop.
type signals struct{ stop, force context.Context }

func catchSignals() signals {
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
	return signals{stop, force}
}
