//go:build failures

package failures

import (
	"testing"
	"time"
)

// Guards against searches that are refused or answered in part or wrongly when an
// instance is killed while the platform is down, and against a system that does not
// recover afterwards.
func TestPlatformDownAndInstanceKilled(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	o := newOrderClient(d)
	key := o.issueKey(2)
	d.runUnderLoad("platform down and an instance killed", 40, 8*time.Second, func() {
		d.setPlatformDown(true)
		time.Sleep(500 * time.Millisecond)
		d.kill(0)
		time.Sleep(4 * time.Second)
		// The other instances send to warm targets under provisional leases.
		for _, i := range []int{1, 2, 3, 4, 5} {
			b := d.balancerFor(d.Instances[i])
			d.eventually("full answers through "+d.Instances[i].Name+" without the platform", 2*time.Second, func() bool {
				r := b.Search(d.ctx, "browse", "q", 2*time.Second)
				return r.Outcome == answered && r.Coverage.Answered == r.Coverage.Total
			})
		}
		if r := o.send(5, key, time.Second); r.Outcome != answered {
			t.Errorf("issued key: %s %s", r.Outcome, r.Reason)
		}
	})
	d.setPlatformDown(false)
	d.restart(0)
	d.waitForFullAnswers(10 * time.Second)
	d.checkFullAnswers(d.runUnderLoad("recovered", 40, 2*time.Second, nil))
	o.resendAll(0, 1, 3)
	o.checkRuns()
	d.checkColdViolations(false)
}

// Guards against wrong coverage while all zones are cut off from each other and
// from the platform, and against a system that does not recover afterwards.
func TestZonesAndPlatformCut(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	setAllCut := func(on bool) {
		d.setPlatformDown(on)
		for _, pair := range [][2]string{{"east", "middle"}, {"middle", "west"}, {"east", "west"}} {
			d.setLinkCut(pair[0], pair[1], on)
		}
	}
	// The number of shards with a replica in the zone; see harness.Topology.Zones. An
	// instance may cover more: it can still reach warm targets of the other zones,
	// whose instances it considers dead.
	shardsInZone := map[string]int{"east": 3, "middle": 3, "west": 2}
	d.runUnderLoad("zones cut", 40, 10*time.Second, func() {
		setAllCut(true)
		time.Sleep(4 * time.Second)
		for _, i := range d.Instances {
			b := d.balancerFor(i)
			d.eventually("answers through "+i.Name+" from its own zone", 3*time.Second, func() bool {
				r := b.Search(d.ctx, "browse", "q", 2*time.Second)
				return r.Outcome == answered && r.Coverage.Answered >= shardsInZone[i.Zone] && r.Coverage.Total == 4
			})
		}
		setAllCut(false)
	})
	d.waitForFullAnswers(10 * time.Second)
	d.checkFullAnswers(d.runUnderLoad("recovered", 40, 2*time.Second, nil))
	d.checkColdViolations(false)
}
