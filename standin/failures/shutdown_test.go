//go:build failures

package failures

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// stopBound is drain_delay and drain_timeout of the deployments and 3 s.
const stopBound = 8500 * time.Millisecond

// stops stops instances gracefully, and checks exit codes and time.
func (d *deployment) stops(indexes ...int) {
	d.t.Helper()
	var processes []*harness.Process
	for _, i := range indexes {
		processes = append(processes, d.process(i))
	}
	begin := time.Now()
	if err := harness.Stop(stopBound, processes...); err != nil {
		d.t.Errorf("stop: %v", err)
	}
	d.t.Logf("stopped after %v", time.Since(begin).Round(time.Millisecond))
}

// Guards against callers that are refused or lose their connection while one
// instance, and then all instances of a zone, stop as planned.
func TestPlannedStop(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.served(d.under("one instance stops", 60, 4*time.Second, func() { d.stops(1) }))
	d.restart(1)
	d.recovers(10 * time.Second)
	d.noColdViolation(false)
}

// Guards against callers that are refused, or get a part, while all instances
// of a zone stop as planned, though the other zones hold a replica of all.
func TestPlannedStopOfZone(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.served(d.under("all instances of a zone stop", 60, 5*time.Second, func() { d.stops(2, 3) }))
	d.restart(2, 3)
	d.recovers(10 * time.Second)
	d.noColdViolation(false)
}

// Guards against a planned stop that fails or does not end because the
// platform is down, a target is stuck, or the operator has no patience.
func TestHinderedStop(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.served(d.under("stop while the platform is down", 60, 8*time.Second, func() {
		d.platformDown(true)
		d.stops(1)
	}))
	d.platformDown(false)
	d.restart(1)
	d.recovers(10 * time.Second)

	d.under("stop with a stuck target", 60, 8*time.Second, func() {
		d.change("east", "archive-1-r1", target.Change{PauseMS: 20000})
		d.stops(0, 1)
	})
	d.restart(0, 1)
	d.ready(10 * time.Second)

	d.under("second signal", 60, 3*time.Second, func() {
		p := d.process(4)
		must(t, p.Signal(syscall.SIGTERM))
		time.Sleep(200 * time.Millisecond)
		must(t, p.Signal(syscall.SIGTERM))
		d.eventually("end after a second signal", 2*time.Second, p.HasEnded)
		if !p.HasEnded() {
			return
		}
		if exit := new(exec.ExitError); !errors.As(p.Err(), &exit) || exit.ExitCode() != 1 {
			t.Errorf("second signal: %v, want exit code 1", p.Err())
		}
	})
}
