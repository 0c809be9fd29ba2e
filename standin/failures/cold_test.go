//go:build failures

package failures

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// coldZone is the zone whose targets are made cold.
const coldZone = "east"

// killTargets ends targets; restartTargets starts them as new, cold incarnations.
var killTargets, restartTargets = target.Change{Kill: true}, target.Change{Restart: true}

// startWithColdZoneOnly starts a deployment and takes the other zones out, so that
// the targets of coldZone get all searches while they are cold. A cold target
// takes about 200 ms to answer, so that a cold start under load lasts longer than
// the failures of the tests.
func startWithColdZoneOnly(t *testing.T) *deployment {
	d := startDeployment(t, func(topology *harness.Topology) {
		topology.Behaviour = func(s declare.Service) target.Behaviour {
			b := targetBehaviour(s)
			b.ColdFactor = 50
			return b
		}
	})
	for _, zone := range []string{"middle", "west"} {
		if code := d.runCtl("zone", "out", zone); code != 0 {
			t.Fatalf("zone out: exit code %d", code)
		}
	}
	return d
}

// runWhileCold makes the targets of coldZone cold by change, runs failure while they
// are under load, and waits until they are warm again. It reports targets that got
// more load than they bear cold after they had told a sender of the cold start.
func (d *deployment) runWhileCold(name string, change target.Change, failure func()) {
	d.t.Helper()
	before := d.targetCounts()
	d.runUnderLoad(name, 20, 5*time.Second, func() {
		if change.Restart {
			d.changeTargets(coldZone, "*", killTargets)
			time.Sleep(time.Second)
		}
		d.changeTargets(coldZone, "*", change)
		time.Sleep(300 * time.Millisecond)
		failure()
	})
	isWarm := func() bool {
		for name, c := range d.targetCounts() {
			if c.Zone == coldZone && (c.Cold || c.Answered < before[name].Answered+6) {
				return false
			}
		}
		return true
	}
	d.eventually("all targets are warm after: "+name, 20*time.Second, func() bool {
		d.load("browse", 20, 500*time.Millisecond).Run(d.ctx, "warming", d.balancer)
		return isWarm()
	})
	for name, c := range d.targetCounts() {
		if c.Zone == coldZone {
			d.t.Logf("%s: cold %v, answered %d and %d before, at most %d cold and %d warm, shed %d", name,
				c.Cold, c.Answered, before[name].Answered, c.MaxCold, c.MaxWarm, c.Refused["shed"])
		}
	}
	d.checkColdViolations(true)
}

// Guards against more load on cold targets than they bear when their holder is
// killed or frozen and another instance becomes the holder, and against targets
// that stay cold afterwards.
func TestColdStartWhileHolderFails(t *testing.T) {
	d := startWithColdZoneOnly(t)
	d.runWhileCold("first start", target.Change{}, func() {})
	d.checkColdViolations(false)
	d.runWhileCold("holder killed", restartTargets, func() { d.kill(0) })
	d.restart(0)
	d.waitUntilReady(10 * time.Second)
	d.runWhileCold("holder frozen", restartTargets, func() {
		d.freeze(1)
		time.Sleep(3500 * time.Millisecond)
		// When the old holder resumes, the targets are cold again and have a new one.
		d.changeTargets(coldZone, "*", restartTargets)
		time.Sleep(200 * time.Millisecond)
		d.thaw(1)
	})
	d.waitUntilReady(10 * time.Second)
}

// Guards against more load on cold targets than they bear when all instances of
// their zone are replaced at once, after a crash or a planned stop.
func TestColdStartWhileZoneIsReplaced(t *testing.T) {
	d := startWithColdZoneOnly(t)
	d.runWhileCold("all instances of the zone killed", restartTargets, func() {
		d.kill(0, 1)
		d.restart(0, 1)
	})
	d.waitUntilReady(10 * time.Second)
	d.runWhileCold("all instances of the zone stopped", restartTargets, func() {
		if err := harness.Stop(10*time.Second, d.process(0), d.process(1)); err != nil {
			t.Errorf("stop: %v", err)
		}
		d.restart(0, 1)
	})
	d.waitUntilReady(10 * time.Second)
}

// Guards against more load on cold targets than they bear when the instances of a
// zone cannot reach each other, with and without the platform, and when targets
// become cold without a new incarnation.
func TestColdStartWhileInstancesAreCut(t *testing.T) {
	d := startWithColdZoneOnly(t)
	d.runWhileCold("instances of the zone cut off from each other", restartTargets, func() {
		d.setLinkCut(coldZone, coldZone, true)
		time.Sleep(2500 * time.Millisecond)
		d.setLinkCut(coldZone, coldZone, false)
	})
	d.runWhileCold("instances of the zone cut off from each other, one also from the platform", restartTargets, func() {
		d.cutFromPlatform("127.0.1.1")
		d.setLinkCut(coldZone, coldZone, true)
		time.Sleep(3500 * time.Millisecond)
		d.changeTargets(coldZone, "*", restartTargets)
		d.setLinkCut(coldZone, coldZone, false)
		d.cutFromPlatform()
	})
	d.waitUntilReady(10 * time.Second)

	d.runWhileCold("targets become cold without a new incarnation", target.Change{Cold: true}, func() {
		for range 2 {
			time.Sleep(1500 * time.Millisecond)
			d.changeTargets(coldZone, "*", target.Change{Cold: true})
		}
	})
}

// Guards against a cold target that stays cold because its warm replica gets all
// requests. If the warm one fails then, the full load meets a cold target.
func TestColdReplicaWarmsBesideWarmOne(t *testing.T) {
	d := startDeployment(t, func(topology *harness.Topology) {
		topology.Behaviour = func(s declare.Service) target.Behaviour {
			b := targetBehaviour(s)
			b.ColdFactor = 50
			return b
		}
	})
	d.runUnderLoad("warm up", 40, 6*time.Second, nil)
	d.changeTargets(coldZone, "*", killTargets)
	time.Sleep(time.Second)
	d.changeTargets(coldZone, "*", restartTargets)
	d.runUnderLoad("beside warm replicas", 40, 15*time.Second, nil)
	for name, c := range d.targetCounts() {
		if c.Zone == coldZone && c.Cold {
			t.Errorf("%s is cold after 15 s of 60 searches/s", name)
		}
	}
}
