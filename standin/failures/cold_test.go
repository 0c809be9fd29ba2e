//go:build failures

package failures

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// coldZone is the zone whose targets are cold while its instances fail.
const coldZone = "east"

// crash and cold make targets end and start again as new incarnations.
var crash, cold = target.Change{Kill: true}, target.Change{Restart: true}

// startCold starts a deployment in which only coldZone is in service, so that
// its targets get all searches while they are cold. A cold answer takes about
// 200 ms, so that a cold start under load lasts longer than a failure.
func startCold(t *testing.T) *deployment {
	d := start(t, func(topology *harness.Topology) {
		topology.Behaviour = func(s declare.Service) target.Behaviour {
			b := behaviour(s)
			b.ColdFactor = 50
			return b
		}
	})
	for _, zone := range []string{"middle", "west"} {
		if code := d.ctl("zone", "out", zone); code != 0 {
			t.Fatalf("zone out: exit code %d", code)
		}
	}
	return d
}

// whileCold runs a failure while the targets of coldZone are cold and under
// load, and waits until they are warm and serve again.
func (d *deployment) whileCold(name string, change target.Change, failure func()) {
	d.t.Helper()
	before := d.counts()
	d.under(name, 20, 5*time.Second, func() {
		if change.Restart {
			d.change(coldZone, "*", crash)
			time.Sleep(time.Second)
		}
		d.change(coldZone, "*", change)
		time.Sleep(300 * time.Millisecond)
		failure()
	})
	isWarm := func() bool {
		for name, c := range d.counts() {
			if c.Zone == coldZone && (c.Cold || c.Answered < before[name].Answered+6) {
				return false
			}
		}
		return true
	}
	d.eventually("end of all cold starts after "+name, 20*time.Second, func() bool {
		d.load("browse", 20, 500*time.Millisecond).Run(d.ctx, "warming", d.balancer)
		return isWarm()
	})
	for name, c := range d.counts() {
		if c.Zone == coldZone {
			d.t.Logf("%s: cold %v, answered %d and %d before, at most %d cold and %d warm, shed %d", name,
				c.Cold, c.Answered, before[name].Answered, c.MaxCold, c.MaxWarm, c.Refused["shed"])
		}
	}
	d.noColdViolation(true)
}

// Guards against more load on cold targets than they bear when their holder is
// killed or frozen and another instance takes them over, and against a cold
// start that does not end after that.
func TestColdStartWhileHolderFails(t *testing.T) {
	d := startCold(t)
	d.whileCold("first start", target.Change{}, func() {})
	d.noColdViolation(false)
	d.whileCold("holder killed", cold, func() { d.kill(0) })
	d.restart(0)
	d.ready(10 * time.Second)
	d.whileCold("holder frozen", cold, func() {
		d.freeze(1)
		time.Sleep(3500 * time.Millisecond)
		// The targets are cold again and have a new holder when the old one wakes.
		d.change(coldZone, "*", cold)
		time.Sleep(200 * time.Millisecond)
		d.thaw(1)
	})
	d.ready(10 * time.Second)
}

// Guards against more load on cold targets than they bear when all instances
// of their zone are replaced at once, by a crash and by a planned stop.
func TestColdStartWhileZoneIsReplaced(t *testing.T) {
	d := startCold(t)
	d.whileCold("all instances of the zone killed", cold, func() {
		d.kill(0, 1)
		d.restart(0, 1)
	})
	d.ready(10 * time.Second)
	d.whileCold("all instances of the zone stopped", cold, func() {
		if err := harness.Stop(10*time.Second, d.process(0), d.process(1)); err != nil {
			t.Errorf("stop: %v", err)
		}
		d.restart(0, 1)
	})
	d.ready(10 * time.Second)
}

// Guards against more load on cold targets than they bear when the instances
// of a zone lose each other, with and without the platform, and when targets
// turn cold without a new incarnation.
func TestColdStartWhileInstancesAreCut(t *testing.T) {
	d := startCold(t)
	d.whileCold("instances of the zone cut from each other", cold, func() {
		d.cut(coldZone, coldZone, true)
		time.Sleep(2500 * time.Millisecond)
		d.cut(coldZone, coldZone, false)
	})
	d.whileCold("and one of them from the platform", cold, func() {
		d.cutPlatform("127.0.1.1")
		d.cut(coldZone, coldZone, true)
		time.Sleep(3500 * time.Millisecond)
		d.change(coldZone, "*", cold)
		d.cut(coldZone, coldZone, false)
		d.cutPlatform()
	})
	d.ready(10 * time.Second)

	d.whileCold("targets turn cold without warning", target.Change{Cold: true}, func() {
		for range 2 {
			time.Sleep(1500 * time.Millisecond)
			d.change(coldZone, "*", target.Change{Cold: true})
		}
	})
}

// Guards against a cold target that never warms because the plan prefers the
// warm replica, so that the loss of that one puts the full load on a cold one.
func TestColdReplicaWarmsBesideWarmOne(t *testing.T) {
	d := start(t, func(topology *harness.Topology) {
		topology.Behaviour = func(s declare.Service) target.Behaviour {
			b := behaviour(s)
			b.ColdFactor = 50
			return b
		}
	})
	d.under("warm up", 40, 6*time.Second, nil)
	d.change(coldZone, "*", crash)
	time.Sleep(time.Second)
	d.change(coldZone, "*", cold)
	d.under("beside warm replicas", 40, 15*time.Second, nil)
	for name, c := range d.counts() {
		if c.Zone == coldZone && c.Cold {
			t.Errorf("%s is cold after 15 s of 60 searches/s", name)
		}
	}
}
