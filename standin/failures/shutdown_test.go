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

// stopTimeout is the sum of drain_delay (0.5 s), drain_timeout (5 s) and 3 s.
const stopTimeout = 8500 * time.Millisecond

// stopGracefully stops instances and reports an error unless all of them end
// within stopTimeout and with exit code 0.
func (d *deployment) stopGracefully(indexes ...int) {
	d.t.Helper()
	var processes []*harness.Process
	for _, i := range indexes {
		processes = append(processes, d.process(i))
	}
	begin := time.Now()
	if err := harness.Stop(stopTimeout, processes...); err != nil {
		d.t.Errorf("stop: %v", err)
	}
	d.t.Logf("stopped after %v", time.Since(begin).Round(time.Millisecond))
}

// Guards against searches that are refused, broken off or answered in part while
// one instance stops as planned.
func TestPlannedStop(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.checkFullAnswers(d.runUnderLoad("one instance stops", 60, 4*time.Second, func() { d.stopGracefully(1) }))
	d.restart(1)
	d.waitForFullAnswers(10 * time.Second)
	d.checkColdViolations(false)
}

// Guards against searches that are refused or answered in part while all instances
// of a zone stop as planned, though the other zones have a replica of each service.
func TestPlannedStopOfZone(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.checkFullAnswers(d.runUnderLoad("all instances of a zone stop", 60, 5*time.Second, func() { d.stopGracefully(2, 3) }))
	d.restart(2, 3)
	d.waitForFullAnswers(10 * time.Second)
	d.checkColdViolations(false)
}

// Guards against a planned stop that fails or does not end because the platform is
// down or a target hangs, and against a second signal that does not end the
// instance at once.
func TestHinderedStop(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.checkFullAnswers(d.runUnderLoad("stop while the platform is down", 60, 8*time.Second, func() {
		d.setPlatformDown(true)
		d.stopGracefully(1)
	}))
	d.setPlatformDown(false)
	d.restart(1)
	d.waitForFullAnswers(10 * time.Second)

	d.runUnderLoad("stop while a target hangs", 60, 8*time.Second, func() {
		d.changeTargets("east", "archive-1-r1", target.Change{PauseMS: 20000})
		d.stopGracefully(0, 1)
	})
	d.restart(0, 1)
	d.waitUntilReady(10 * time.Second)

	d.runUnderLoad("second signal", 60, 3*time.Second, func() {
		p := d.process(4)
		must(t, p.Signal(syscall.SIGTERM))
		time.Sleep(200 * time.Millisecond)
		must(t, p.Signal(syscall.SIGTERM))
		d.eventually("the instance ends after a second signal", 2*time.Second, p.HasEnded)
		if !p.HasEnded() {
			return
		}
		if exit := new(exec.ExitError); !errors.As(p.Err(), &exit) || exit.ExitCode() != 1 {
			t.Errorf("second signal: %v, want exit code 1", p.Err())
		}
	})
}
