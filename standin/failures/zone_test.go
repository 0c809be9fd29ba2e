//go:build failures

package failures

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/platform"
	"github.com/baobabsill/baobabsill/standin/target"
)

// noLateWork checks that no target took work later than 3 s after its zone was
// taken out or its drain began. A frozen instance may wake between its last
// check and the send; the target refuses such a request as expired (section
// 3.2), so that many late arrivals are no work.
func (d *deployment) noLateWork() {
	d.t.Helper()
	after, expired := int64(0), int64(0)
	for name, c := range d.counts() {
		after += c.AfterZoneOut + c.AfterDrain
		expired += c.Refused["expired"]
		if c.LateAfterZoneOut+c.LateAfterDrain > c.Refused["expired"] {
			d.t.Errorf("%s: %d requests later than 3 s after the zone was out, the last after %d ms; %d after the drain, the last after %d ms; %d refused as expired",
				name, c.LateAfterZoneOut, c.ZoneOutLastMS, c.LateAfterDrain, c.DrainLastMS, c.Refused["expired"])
		}
	}
	d.t.Logf("%d requests after the event, %d refused as expired", after, expired)
}

func (d *deployment) zone(name string, out bool) {
	d.t.Helper()
	if out {
		// The targets count from before the change is accepted.
		must(d.t, d.Targets[name].Post(d.ctx, "/admin/zone", map[string]bool{"out": true}))
	}
	if code := d.ctl("zone", map[bool]string{true: "out", false: "in"}[out], name); code != 0 {
		d.t.Errorf("zone %s: exit code %d", name, code)
	}
	if !out {
		must(d.t, d.Targets[name].Post(d.ctx, "/admin/zone", map[string]bool{"out": false}))
	}
}

// Guards against work for a zone that was taken out from an instance of the
// zone that was frozen during the change and wakes more than 3 s after it.
func TestZoneOutWhileHolderIsFrozen(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.under("zone out", 60, 7*time.Second, func() {
		d.freeze(0)
		time.Sleep(300 * time.Millisecond)
		d.zone("east", true)
		time.Sleep(3500 * time.Millisecond)
		d.thaw(0)
	})
	d.noLateWork()
}

// Guards against work for a zone that was taken out from an instance of
// another zone that was frozen during the change or that is cut off from the platform, and against
// too much load on cold targets when the zone returns.
func TestZoneOut(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.under("zone out", 60, 7*time.Second, func() {
		d.cutPlatform("127.0.2.1", "127.0.1.2")
		d.freeze(4)
		time.Sleep(300 * time.Millisecond)
		d.zone("east", true)
		time.Sleep(3500 * time.Millisecond)
		d.thaw(4)
	})
	d.noLateWork()
	d.served(d.under("without the zone", 40, time.Second, nil))
	d.cutPlatform()

	d.change("east", "*", target.Change{Kill: true})
	d.change("east", "*", target.Change{Restart: true})
	time.Sleep(time.Second) // the list lags by 500 ms and is read every 500 ms
	before := d.counts()
	d.under("zone in", 60, 4*time.Second, func() { d.zone("east", false) })
	d.noColdViolation(false)
	for name, c := range d.counts() {
		if c.Zone == "east" && c.Started == before[name].Started {
			t.Errorf("%s gets no work after the return of its zone", name)
		}
	}
}

// Guards against work for a leaving target where only one of the three signals
// shows that it leaves, and against a list that flaps.
func TestLeavingTarget(t *testing.T) {
	d := start(t, nil)
	d.warm()
	list, header, silent := target.DrainList, target.DrainHeader, target.DrainSilent
	flapping := d.counts()["archive-4-r1"]
	show := func(state string) {
		item := platform.Item{Service: "archive-4", Name: "archive-4-r1", Incarnation: "archive-4-r1-1",
			Zone: flapping.Zone, Address: flapping.Address, State: state}
		must(t, d.Platform.Post(d.ctx, "/admin/instances", platform.InstancesUpdate{Items: []platform.Item{item}}))
	}
	results := d.under("targets leave", 60, 9*time.Second, func() {
		d.change("east", "archive-1-r1", target.Change{Drain: &list})
		d.change("middle", "archive-2-r1", target.Change{Drain: &header})
		d.change("west", "archive-3-r1", target.Change{Drain: &silent})
		if code := d.ctl("target", "retire", "archive-3-r1"); code != 0 {
			t.Errorf("retire: exit code %d", code)
		}
		d.change("east", "archive-4-r1", target.Change{Drain: &silent})
		for _, state := range []string{"leaving", "live", "leaving", "live"} {
			show(state)
			time.Sleep(1200 * time.Millisecond)
		}
	})
	d.noLateWork()
	d.served(results)

	// An instance that starts now sees the target only as live.
	d.kill(1)
	d.restart(1)
	d.ready(10 * time.Second)
	d.under("an instance starts after the flapping", 60, 2*time.Second, nil)
	d.noLateWork()
}
