//go:build failures

package failures

import (
	"testing"
	"time"
)

// Guards against lost service or wrong answers when an instance is killed
// while the platform is down, and against a system that does not recover.
func TestPlatformDownAndInstanceKilled(t *testing.T) {
	d := start(t, nil)
	d.warm()
	o := newOrders(d)
	key := o.issue(2)
	d.under("platform down and an instance killed", 40, 8*time.Second, func() {
		d.platformDown(true)
		time.Sleep(500 * time.Millisecond)
		d.kill(0)
		time.Sleep(4 * time.Second)
		// The survivors serve warm targets provisionally.
		for _, i := range []int{1, 2, 3, 4, 5} {
			b := d.only(d.Instances[i])
			d.eventually("full answers through "+d.Instances[i].Name+" without the platform", 2*time.Second, func() bool {
				r := b.Search(d.ctx, "browse", "q", 2*time.Second)
				return r.Outcome == answered && r.Coverage.Answered == r.Coverage.Total
			})
		}
		if r := o.send(5, key, time.Second); r.Outcome != answered {
			t.Errorf("issued key: %s %s", r.Outcome, r.Reason)
		}
	})
	d.platformDown(false)
	d.restart(0)
	d.recovers(10 * time.Second)
	d.served(d.under("recovered", 40, 2*time.Second, nil))
	o.resend(0, 1, 3)
	o.check()
	d.noColdViolation(false)
}

// Guards against wrong coverage while all zones are cut off from each other
// and from the platform, and against a system that does not recover.
func TestZonesAndPlatformCut(t *testing.T) {
	d := start(t, nil)
	d.warm()
	cut := func(on bool) {
		d.platformDown(on)
		for _, pair := range [][2]string{{"east", "middle"}, {"middle", "west"}, {"east", "west"}} {
			d.cut(pair[0], pair[1], on)
		}
	}
	// Shards that have a replica in the zone; see harness.Topology.Zones. An
	// instance may cover more, because it can still reach warm targets of the
	// other zones, whose instances it takes for dead.
	replicas := map[string]int{"east": 3, "middle": 3, "west": 2}
	d.under("zones cut", 40, 10*time.Second, func() {
		cut(true)
		time.Sleep(4 * time.Second)
		for _, i := range d.Instances {
			b := d.only(i)
			d.eventually("answers through "+i.Name+" from its own zone", 3*time.Second, func() bool {
				r := b.Search(d.ctx, "browse", "q", 2*time.Second)
				return r.Outcome == answered && r.Coverage.Answered >= replicas[i.Zone] && r.Coverage.Total == 4
			})
		}
		cut(false)
	})
	d.recovers(10 * time.Second)
	d.served(d.under("recovered", 40, 2*time.Second, nil))
	d.noColdViolation(false)
}
