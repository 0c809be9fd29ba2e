//go:build failures

package failures

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/status"
	"github.com/baobabsill/baobabsill/standin/platform"
)

// waitUntilInForce reports an error unless the configuration version, or a later
// one, is in force at the instances within effectBound.
func (d *deployment) waitUntilInForce(version int64, instances ...int) {
	d.t.Helper()
	d.eventually("configuration in force", effectBound, func() bool {
		for _, i := range instances {
			if s, err := d.status(i); err != nil || s.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

func (d *deployment) currentConfig() (c declare.Document) {
	var o struct{ Value declare.Document }
	must(d.t, d.Platform.Get(d.ctx, "/objects/config/main", &o))
	return o.Value
}

// Guards against a configuration change that is lost when operators change it at
// the same time, and against an exit code that contradicts the configuration,
// also when the answer of the platform is lost or the platform is down.
func TestOperatorsRace(t *testing.T) {
	d := startDeployment(t, nil)
	targets := []string{"archive-1-r1", "archive-2-r1", "archive-3-r1", "archive-4-r1"}
	codes := make([]int, len(targets))
	var wg sync.WaitGroup
	for i, name := range targets {
		wg.Go(func() { codes[i] = d.runCtl("target", "retire", name) })
	}
	wg.Wait()
	retired := d.currentConfig().RetiredTargets
	for i, name := range targets {
		if in := slices.Contains(retired, name); codes[i] == 0 != in || codes[i] != 0 && codes[i] != 3 {
			t.Errorf("retire %s: exit code %d, in force: %v", name, codes[i], in)
		}
	}
	d.waitUntilInForce(d.configVersion(), 0, 1, 2, 3, 4, 5)

	zones := []string{"east", "west"}
	for i, name := range zones {
		wg.Go(func() { codes[i] = d.runCtl("zone", "out", name) })
	}
	wg.Wait()
	for _, z := range d.currentConfig().Zones {
		if i := slices.Index(zones, z.Name); i >= 0 && (codes[i] == 0) != z.Out {
			t.Errorf("zone %s out: exit code %d, out: %v", z.Name, codes[i], z.Out)
		}
	}

	// The platform loses the answers of the next writes. The first is the write of
	// the history, the second that of the configuration.
	for lose := 1; lose <= 3; lose++ {
		before := d.configVersion()
		d.setPlatformFault(platform.Fault{LoseAnswers: &lose})
		code := d.runCtl("zone", []string{"out", "in"}[lose%2], "east")
		if changed := d.configVersion() > before; code != 4 && (code == 0) != changed || lose < 3 && !changed {
			t.Errorf("%d answers lost: exit code %d, configuration changed: %v", lose, code, changed)
		}
		none := 0
		d.setPlatformFault(platform.Fault{LoseAnswers: &none})
	}
	d.waitUntilInForce(d.configVersion(), 0, 1, 2, 3, 4, 5)

	before := d.configVersion()
	d.setPlatformDown(true)
	if code := d.runCtl("zone", "in", "east"); code != 5 {
		t.Errorf("platform down: exit code %d, want 5", code)
	}
	d.setPlatformDown(false)
	if after := d.configVersion(); after != before {
		t.Errorf("version %d before and %d after a change that was refused", before, after)
	}
}

// servedWhenCutOff returns the number of services that an instance can serve while
// its zone is cut off from the others: those with a target in its own zone, and
// those with a target elsewhere that it knew as warm, whose holder it replaces.
func servedWhenCutOff(s status.Document) int {
	services := map[string]bool{}
	for _, t := range s.Targets {
		if t.Phase != "leaving" && (t.Zone == s.Zone || t.Phase == "warm") {
			services[t.Service] = true
		}
	}
	return len(services)
}

// Guards against a configuration that is lost or reverts when an instance restarts
// while it cannot reach the platform, and when a whole zone is cut off.
func TestConfigurationDuringCuts(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	retire := func(name string) int64 {
		if code := d.runCtl("target", "retire", name); code != 0 {
			t.Errorf("retire %s: exit code %d", name, code)
		}
		return d.configVersion()
	}
	version := retire("archive-1-r1")
	d.cutFromPlatform("127.0.1.1")
	d.kill(0)
	d.restart(0)
	d.eventually("the instance is ready without the platform", 10*time.Second, func() bool {
		s, err := d.status(0)
		return err == nil && s.State == "ready" && s.ConfigVersion >= version
	})
	version = retire("archive-2-r1")
	d.waitUntilInForce(version, 0, 1, 2, 3, 4, 5)

	d.cutFromPlatform("127.0.3.")
	d.setLinkCut("west", "east", true)
	d.setLinkCut("west", "middle", true)
	d.eventually("the instances of the zone report that they are cut off", 10*time.Second, func() bool {
		for _, i := range []int{4, 5} {
			// A request makes an instance refresh a state whose last confirmation is
			// too old. If it still reports that it is cut off, the refresh has failed.
			d.balancerFor(d.Instances[i]).Search(d.ctx, "browse", "q", time.Second)
			if s, err := d.status(i); err != nil || !s.CutOff {
				return false
			}
		}
		return true
	})
	old := version
	version = retire("archive-4-r1")
	d.waitUntilInForce(version, 0, 1, 2, 3)
	for _, i := range []int{4, 5} {
		b := d.balancerFor(d.Instances[i])
		b.Refresh(d.ctx)
		r := b.Search(d.ctx, "browse", "q", 2*time.Second)
		s, err := d.status(i)
		if err != nil || s.ConfigVersion != old {
			t.Errorf("%s: configuration %d, want %d: %v", d.Instances[i].Name, s.ConfigVersion, old, err)
		}
		if want := servedWhenCutOff(s); r.Outcome != answered || r.Coverage.Answered != want {
			t.Errorf("%s, cut off: %s %s with %d of %d shards, want %d", d.Instances[i].Name, r.Outcome, r.Reason, r.Coverage.Answered, r.Coverage.Total, want)
		}
	}
	d.cutFromPlatform()
	d.setLinkCut("west", "east", false)
	d.setLinkCut("west", "middle", false)
	d.waitUntilInForce(version, 0, 1, 2, 3, 4, 5)
	d.eventually("no instance is cut off", 5*time.Second, func() bool {
		for i := range d.Instances {
			d.balancerFor(d.Instances[i]).Search(d.ctx, "browse", "q", time.Second)
			if s, err := d.status(i); err != nil || s.CutOff {
				return false
			}
		}
		return true
	})
}
