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

// inForce waits until the instances have at least the version in force.
func (d *deployment) inForce(version int64, instances ...int) {
	d.t.Helper()
	d.eventually("configuration in force", bound, func() bool {
		for _, i := range instances {
			if s, err := d.status(i); err != nil || s.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

func (d *deployment) config() (c declare.Document) {
	var o struct{ Value declare.Document }
	must(d.t, d.Platform.Get(d.ctx, "/objects/config/main", &o))
	return o.Value
}

// Guards against a lost change of one of two operators who race, and against a
// wrong report when the platform loses its answer.
func TestOperatorsRace(t *testing.T) {
	d := start(t, nil)
	targets := []string{"archive-1-r1", "archive-2-r1", "archive-3-r1", "archive-4-r1"}
	codes := make([]int, len(targets))
	var wg sync.WaitGroup
	for i, name := range targets {
		wg.Go(func() { codes[i] = d.ctl("target", "retire", name) })
	}
	wg.Wait()
	retired := d.config().RetiredTargets
	for i, name := range targets {
		if in := slices.Contains(retired, name); codes[i] == 0 != in || codes[i] != 0 && codes[i] != 3 {
			t.Errorf("retire %s: exit code %d, in force: %v", name, codes[i], in)
		}
	}
	d.inForce(d.configVersion(), 0, 1, 2, 3, 4, 5)

	zones := []string{"east", "west"}
	for i, name := range zones {
		wg.Go(func() { codes[i] = d.ctl("zone", "out", name) })
	}
	wg.Wait()
	for _, z := range d.config().Zones {
		if i := slices.Index(zones, z.Name); i >= 0 && (codes[i] == 0) != z.Out {
			t.Errorf("zone %s out: exit code %d, out: %v", z.Name, codes[i], z.Out)
		}
	}

	// The first lost answer is that of the write of the history, the second
	// that of the configuration.
	for lose := 1; lose <= 3; lose++ {
		before := d.configVersion()
		d.fault(platform.Fault{LoseAnswers: &lose})
		code := d.ctl("zone", []string{"out", "in"}[lose%2], "east")
		if changed := d.configVersion() > before; code != 4 && (code == 0) != changed || lose < 3 && !changed {
			t.Errorf("%d answers lost: exit code %d, configuration changed: %v", lose, code, changed)
		}
		none := 0
		d.fault(platform.Fault{LoseAnswers: &none})
	}
	d.inForce(d.configVersion(), 0, 1, 2, 3, 4, 5)

	before := d.configVersion()
	d.platformDown(true)
	if code := d.ctl("zone", "in", "east"); code != 5 {
		t.Errorf("platform down: exit code %d, want 5", code)
	}
	d.platformDown(false)
	if after := d.configVersion(); after != before {
		t.Errorf("version %d before and %d after a change that was refused", before, after)
	}
}

// servedWhenCutOff returns the number of services that an instance serves which
// is cut off from all other zones: those with a target in its own zone, and
// those of which it knew a warm target elsewhere, for which it stands in.
func servedWhenCutOff(s status.Document) int {
	services := map[string]bool{}
	for _, t := range s.Targets {
		if t.Phase != "leaving" && (t.Zone == s.Zone || t.Phase == "warm") {
			services[t.Service] = true
		}
	}
	return len(services)
}

// Guards against a configuration that is lost or reverts at an instance that
// restarts without the platform, and in a zone that is cut off.
func TestConfigurationDuringCuts(t *testing.T) {
	d := start(t, nil)
	d.warm()
	retire := func(name string) int64 {
		if code := d.ctl("target", "retire", name); code != 0 {
			t.Errorf("retire %s: exit code %d", name, code)
		}
		return d.configVersion()
	}
	version := retire("archive-1-r1")
	d.cutPlatform("127.0.1.1")
	d.kill(0)
	d.restart(0)
	d.eventually("an instance without the platform is ready", 10*time.Second, func() bool {
		s, err := d.status(0)
		return err == nil && s.State == "ready" && s.ConfigVersion >= version
	})
	version = retire("archive-2-r1")
	d.inForce(version, 0, 1, 2, 3, 4, 5)

	d.cutPlatform("127.0.3.")
	d.cut("west", "east", true)
	d.cut("west", "middle", true)
	d.eventually("the zone says that it is cut off", 10*time.Second, func() bool {
		for _, i := range []int{4, 5} {
			// The first request after the confirmation became too old refreshes it.
			d.only(d.Instances[i]).Search(d.ctx, "browse", "q", time.Second)
			if s, err := d.status(i); err != nil || !s.CutOff {
				return false
			}
		}
		return true
	})
	old := version
	version = retire("archive-4-r1")
	d.inForce(version, 0, 1, 2, 3)
	for _, i := range []int{4, 5} {
		b := d.only(d.Instances[i])
		b.Refresh(d.ctx)
		r := b.Search(d.ctx, "browse", "q", 2*time.Second)
		s, err := d.status(i)
		if err != nil || s.ConfigVersion != old {
			t.Errorf("%s: configuration %d, want %d: %v", d.Instances[i].Name, s.ConfigVersion, old, err)
		}
		if want := servedWhenCutOff(s); r.Outcome != answered || r.Coverage.Answered != want {
			t.Errorf("%s: %s %s with %d of %d shards, cut off, want %d", d.Instances[i].Name, r.Outcome, r.Reason, r.Coverage.Answered, r.Coverage.Total, want)
		}
	}
	d.cutPlatform()
	d.cut("west", "east", false)
	d.cut("west", "middle", false)
	d.inForce(version, 0, 1, 2, 3, 4, 5)
	d.eventually("no instance is cut off", 5*time.Second, func() bool {
		for i := range d.Instances {
			d.only(d.Instances[i]).Search(d.ctx, "browse", "q", time.Second)
			if s, err := d.status(i); err != nil || s.CutOff {
				return false
			}
		}
		return true
	})
}
