//go:build failures

package failures

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/platform"
	"github.com/baobabsill/baobabsill/standin/target"
)

// checkNoLateWork reports targets that accepted a request later than 3 s after their
// zone was taken out or their drain began. An instance that was frozen between its
// last check and the send may still send a search. The deadline of this is at most
// the end of the sender's lease, so the target refuses it as expired. Only late
// arrivals beyond these are errors.
func (d *deployment) checkNoLateWork() {
	d.t.Helper()
	arrivals, expired := int64(0), int64(0)
	for name, c := range d.targetCounts() {
		arrivals += c.AfterZoneOut + c.AfterDrain
		expired += c.Refused["expired"]
		if c.LateAfterZoneOut+c.LateAfterDrain > c.Refused["expired"] {
			d.t.Errorf("%s: %d requests later than 3 s after the zone was out, the last after %d ms; %d after the drain, the last after %d ms; %d refused as expired",
				name, c.LateAfterZoneOut, c.ZoneOutLastMS, c.LateAfterDrain, c.DrainLastMS, c.Refused["expired"])
		}
	}
	d.t.Logf("%d requests after a zone was out or a drain began, %d refused as expired", arrivals, expired)
}

// setZoneOut takes a zone out or back in, and has its targets count requests that
// arrive while it is out.
func (d *deployment) setZoneOut(name string, out bool) {
	d.t.Helper()
	if out {
		// The count starts before the change is accepted, so that it misses no request.
		must(d.t, d.Targets[name].Post(d.ctx, "/admin/zone", map[string]bool{"out": true}))
	}
	if code := d.runCtl("zone", map[bool]string{true: "out", false: "in"}[out], name); code != 0 {
		d.t.Errorf("zone %s: exit code %d", name, code)
	}
	if !out {
		must(d.t, d.Targets[name].Post(d.ctx, "/admin/zone", map[string]bool{"out": false}))
	}
}

// Guards against requests to a zone that was taken out, sent by an instance of this
// zone that was frozen during the change and resumes more than 3 s after it.
func TestZoneOutWhileHolderIsFrozen(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.runUnderLoad("zone out", 60, 7*time.Second, func() {
		d.freeze(0)
		time.Sleep(300 * time.Millisecond)
		d.setZoneOut("east", true)
		time.Sleep(3500 * time.Millisecond)
		d.thaw(0)
	})
	d.checkNoLateWork()
}

// Guards against requests to a zone that was taken out, sent by an instance of
// another zone that was frozen during the change, or by one that is cut off from
// the platform. Also guards against too much load on cold targets when the zone
// returns.
func TestZoneOut(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.runUnderLoad("zone out", 60, 7*time.Second, func() {
		d.cutFromPlatform("127.0.2.1", "127.0.1.2")
		d.freeze(4)
		time.Sleep(300 * time.Millisecond)
		d.setZoneOut("east", true)
		time.Sleep(3500 * time.Millisecond)
		d.thaw(4)
	})
	d.checkNoLateWork()
	d.checkFullAnswers(d.runUnderLoad("without the zone", 40, time.Second, nil))
	d.cutFromPlatform()

	d.changeTargets("east", "*", target.Change{Kill: true})
	d.changeTargets("east", "*", target.Change{Restart: true})
	time.Sleep(time.Second) // the instance list lags by 500 ms and is read every 500 ms
	before := d.targetCounts()
	d.runUnderLoad("zone in", 60, 4*time.Second, func() { d.setZoneOut("east", false) })
	d.checkColdViolations(false)
	for name, c := range d.targetCounts() {
		if c.Zone == "east" && c.Started == before[name].Started {
			t.Errorf("%s gets no requests after the return of its zone", name)
		}
	}
}

// Guards against requests to a leaving target if only one of the three signals
// announces it: the instance list, the response header or the configuration. Also
// guards against requests to a target that the list shows as leaving and then as
// live again.
func TestLeavingTarget(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	byList, byHeader, silent := target.DrainList, target.DrainHeader, target.DrainSilent
	flapping := d.targetCounts()["archive-4-r1"]
	listAs := func(state string) {
		item := platform.ListedTarget{Service: "archive-4", Name: "archive-4-r1", Incarnation: "archive-4-r1-1",
			Zone: flapping.Zone, Address: flapping.Address, State: state}
		must(t, d.Platform.Post(d.ctx, "/admin/instances", platform.InstancesUpdate{Items: []platform.ListedTarget{item}}))
	}
	results := d.runUnderLoad("targets leave", 60, 9*time.Second, func() {
		d.changeTargets("east", "archive-1-r1", target.Change{Drain: &byList})
		d.changeTargets("middle", "archive-2-r1", target.Change{Drain: &byHeader})
		d.changeTargets("west", "archive-3-r1", target.Change{Drain: &silent})
		if code := d.runCtl("target", "retire", "archive-3-r1"); code != 0 {
			t.Errorf("retire: exit code %d", code)
		}
		d.changeTargets("east", "archive-4-r1", target.Change{Drain: &silent})
		for _, state := range []string{"leaving", "live", "leaving", "live"} {
			listAs(state)
			time.Sleep(1200 * time.Millisecond)
		}
	})
	d.checkNoLateWork()
	d.checkFullAnswers(results)

	// An instance that starts now has only seen the target as live.
	d.kill(1)
	d.restart(1)
	d.waitUntilReady(10 * time.Second)
	d.runUnderLoad("an instance starts after the target is listed as live again", 60, 2*time.Second, nil)
	d.checkNoLateWork()
}
