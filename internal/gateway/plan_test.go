package gateway

import (
	"bytes"
	"encoding/json"
	"flag"
	"maps"
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/state"
)

var updateTrace = flag.Bool("update-trace", false, "record testdata/trace.jsonl")

// Guards against plans with replicas that must not get requests, and against a
// replica choice that ignores load, the lag of reported loads, limits, zones and
// round trips.
func TestPlanOrder(t *testing.T) {
	load := func(target string, phase state.Phase, limit, inFlight int) state.Load {
		return state.Load{Target: target, Phase: phase, Limit: limit, InFlight: inFlight, LatencyMicros: 10_000}
	}
	for name, c := range map[string]struct {
		change func(store *state.Store, in *PlanInput)
		want   string
	}{
		"own zone first": {func(*state.Store, *PlanInput) {}, "s0-a s0-b"},
		"shorter queue in the other zone": {func(s *state.Store, _ *PlanInput) {
			setLoad(s, load("s0-a", state.PhaseWarm, 2, 6))
			setLoad(s, load("s0-b", state.PhaseWarm, 2, 0))
		}, "s0-b s0-a"},
		"own requests in flight that the load does not show": {func(_ *state.Store, in *PlanInput) {
			in.Observed.Targets = map[string]TargetObservation{"s0-a": {InFlight: 40}}
		}, "s0-b s0-a"},
		"load of a recent reply": {func(_ *state.Store, in *PlanInput) {
			l := state.Load{Phase: state.PhaseEjected, Incarnation: "1"}
			in.Observed.Targets = map[string]TargetObservation{"s0-a": {Load: &l}}
		}, "s0-b"},
		"cold at its limit": {func(s *state.Store, _ *PlanInput) { setLoad(s, load("s0-a", state.PhaseCold, 1, 1)) }, "s0-b s0-a"},
		"ejected":           {func(s *state.Store, _ *PlanInput) { setLoad(s, load("s0-a", state.PhaseEjected, 1, 0)) }, "s0-b"},
		"all ejected": {func(s *state.Store, _ *PlanInput) {
			setLoad(s, load("s0-a", state.PhaseEjected, 1, 0))
			setLoad(s, load("s0-b", state.PhaseEjected, 1, 0))
		}, "s0-a s0-b"},
		"leaving": {func(s *state.Store, _ *PlanInput) { setLoad(s, load("s0-a", state.PhaseLeaving, 2, 0)) }, "s0-b"},
		"zone out": {func(s *state.Store, _ *PlanInput) {
			s.Update(func(next *state.Snapshot) { next.Config.Zones = []declare.Zone{{Name: "z1", Out: true}} })
		}, "s0-b"},
		"new incarnation counts as cold": {func(s *state.Store, in *PlanInput) {
			s.Update(func(next *state.Snapshot) {
				next.Targets = maps.Clone(next.Targets)
				target := next.Targets["s0-a"]
				target.Incarnation = "2"
				next.Targets["s0-a"] = target
			})
			in.Observed.Targets = map[string]TargetObservation{"s0-a": {InFlight: 1}}
		}, "s0-b s0-a"},
		"cold replica when it is time to try it": {func(s *state.Store, in *PlanInput) {
			setLoad(s, load("s0-b", state.PhaseCold, 1, 0))
			in.Observed.Targets = map[string]TargetObservation{"s0-b": {Explore: true}}
		}, "s0-b s0-a"},
		"cold replica at its limit is not tried": {func(s *state.Store, in *PlanInput) {
			setLoad(s, load("s0-b", state.PhaseCold, 1, 1))
			in.Observed.Targets = map[string]TargetObservation{"s0-b": {Explore: true}}
		}, "s0-a s0-b"},
		"slow replica of the own zone": {func(s *state.Store, _ *PlanInput) {
			slow := load("s0-a", state.PhaseWarm, 2, 0)
			slow.LatencyMicros = 100_000
			setLoad(s, slow)
		}, "s0-b s0-a"},
		"slow link to the holder in the own zone": {func(_ *state.Store, in *PlanInput) {
			in.Observed.RoundTrips = map[string]time.Duration{"i1": 50 * time.Millisecond, "i2": 8 * time.Millisecond}
		}, "s0-b s0-a"},
		"no holder": {func(_ *state.Store, in *PlanInput) { delete(in.Routes, "s0-a") }, "s0-b"},
		"round-robin": {func(_ *state.Store, in *PlanInput) {
			in.Policy.ReplicaChoice, in.Observed.RoundRobinPosition = ChooseRoundRobin, 1
		}, "s0-b s0-a"},
	} {
		t.Run(name, func(t *testing.T) {
			store := newTestStore(1, declare.ClassPartial)
			in := PlanInput{RequestID: "r1", Search: "archive", Zone: "z1", Policy: Policy{}.withDefaults(),
				Routes: map[string]string{"s0-a": "i1", "s0-b": "i2"}}
			c.change(store, &in)
			in.Snapshot = store.Load()
			got := []string{}
			for _, r := range MakePlan(in).Shards[0].Replicas {
				got = append(got, r.Target)
			}
			if strings.Join(got, " ") != c.want {
				t.Fatalf("got %v, want %s", got, c.want)
			}
		})
	}
}

// Guards against a plan for an index snapshot that no replica of a shard has,
// while all shards of an older one have a replica, and against a plan that falls
// back although one replica of each shard still has the newest one.
func TestPlanUsesNewestCompleteIndex(t *testing.T) {
	in := PlanInput{Search: "archive", Snapshot: newTestStore(2, declare.ClassPartial).Load(), Policy: Policy{}.withDefaults(),
		Routes:   map[string]string{"s0-a": "i", "s0-b": "i", "s1-a": "i", "s1-b": "i"},
		Observed: Observed{Targets: map[string]TargetObservation{"s1-a": {MissingSnapshots: []string{"v2"}}}}}
	if p := MakePlan(in); p.Snapshot != "v2" || len(p.Shards[1].Replicas) != 1 || p.Shards[1].Replicas[0].Target != "s1-b" {
		t.Fatalf("one replica lacks v2: %+v", p)
	}
	in.Observed.Targets["s1-b"] = TargetObservation{MissingSnapshots: []string{"v2"}}
	if p := MakePlan(in); p.Snapshot != "v1" || len(p.Shards[1].Replicas) != 2 {
		t.Fatalf("both replicas lack v2: %+v", p)
	}
}

// Guards against a plan that depends on more than its logged input. Planning
// again from the input of each trace line, both recorded and newly written, must
// give the output of that line.
func TestTraceReplays(t *testing.T) {
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		f := &fakeExecutor{do: scriptedExecutor("s0-a not-run/snapshot-gone\ns0-b broken\n* ok")}
		store := newTestStore(3, declare.ClassPartial)
		store.Update(func(next *state.Snapshot) {
			next.Targets = maps.Clone(next.Targets)
			for _, name := range []string{"s2-c", "s2-d"} { // with more than two replicas, a hash decides
				next.Targets[name] = state.Target{Name: name, Service: "s2", Zone: "z1", Incarnation: "1"}
			}
		})
		g := newGateway(store, f, Options{Trace: true})
		g.logger = &log.Logger{Writer: &log.IOWriter{Writer: &out}}
		for i := range 3 {
			g.Search(t.Context(), request(i))
		}
	})
	if *updateTrace {
		if err := os.WriteFile("testdata/trace.jsonl", out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile("testdata/trace.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for source, lines := range map[string][]byte{"recorded": recorded, "new": out.Bytes()} {
		plans := 0
		for line := range bytes.Lines(lines) {
			var entry struct {
				Message string      `json:"message"`
				Trace   TraceRecord `json:"trace"`
			}
			if err := json.Unmarshal(line, &entry); err != nil {
				t.Fatalf("%s: %v in %s", source, err, line)
			}
			if entry.Message != "plan" {
				continue
			}
			plans++
			if got := MakePlan(entry.Trace.Input); !reflect.DeepEqual(got, entry.Trace.Output) {
				t.Fatalf("%s: got %+v, recorded %+v", source, got, entry.Trace.Output)
			}
		}
		if plans < 3 {
			t.Fatalf("%s: %d plans", source, plans)
		}
	}
}
