package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/target"
)

// Guards against a check that misses wrong answers, so that the demo and the
// bench report none: items of two snapshots, of another request or repeated, a
// stated coverage that is too high, and incomplete answers of a complete search.
func TestCheckFindsFaults(t *testing.T) {
	s := declare.Search{Name: "s", Class: declare.ClassComplete, Services: []string{"a", "b"}}
	item := func(snapshot, shard, query string) target.Item {
		return target.Item{ID: snapshot + shard + query, Snapshot: snapshot, Shard: shard, Query: query}
	}
	for _, c := range []struct {
		name     string
		answered int
		items    []target.Item
		want     Faults
	}{
		{"whole", 2, []target.Item{item("v1", "a", "q"), item("v1", "b", "q")}, Faults{}},
		{"mixed", 2, []target.Item{item("v1", "a", "q"), item("v2", "b", "q")}, Faults{MixedSnapshots: 1}},
		{"foreign", 2, []target.Item{item("v1", "a", "q"), item("v1", "b", "p")}, Faults{WrongItems: 1}},
		{"twice", 2, []target.Item{item("v1", "a", "q"), item("v1", "a", "q"), item("v1", "b", "q")}, Faults{WrongItems: 1}},
		{"overstated", 2, []target.Item{item("v1", "a", "q")}, Faults{WrongCoverage: 1, Incomplete: 1}},
		{"incomplete", 1, []target.Item{item("v1", "a", "q")}, Faults{Incomplete: 1}},
	} {
		r := Reply{Snapshot: "v1", Items: c.items}
		r.Coverage.Answered, r.Coverage.Total = c.answered, 2
		var f Faults
		f.CheckAnswer(s, 1, "q", r)
		f.Examples = nil
		if f.MixedSnapshots != c.want.MixedSnapshots || f.WrongItems != c.want.WrongItems || f.WrongCoverage != c.want.WrongCoverage || f.Incomplete != c.want.Incomplete {
			t.Errorf("%s: %+v, want %+v", c.name, f, c.want)
		}
	}
}

// Guards against a load generator that waits for an answer before it sends the
// next request. It would send less while the system stalls, and the latencies
// would hide the stall.
func TestOpenLoop(t *testing.T) {
	var arrived atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/search" {
			arrived.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
		_ = json.NewEncoder(w).Encode(Reply{Outcome: "answered", Snapshot: "v1"})
	}))
	defer srv.Close()
	b := NewBalancer([]Instance{{Name: "i", CallerAddress: strings.TrimPrefix(srv.URL, "http://")}}, time.Millisecond)
	b.Refresh(context.Background())
	l := Load{Search: declare.Search{Name: "s"}, Rate: 100, Duration: 500 * time.Millisecond, Deadline: time.Second, Seed: 1}
	res := l.Run(context.Background(), "open", b)
	if res.Arrivals < 25 || res.Arrivals != res.Outcomes["answered"] || int64(res.Arrivals) != arrived.Load() {
		t.Errorf("sent %d, outcomes %v, arrived %d", res.Arrivals, res.Outcomes, arrived.Load())
	}
	if p50 := res.AnsweredLatency.ValueAtQuantile(50); p50 < 300_000 {
		t.Errorf("median latency %d µs, want at least the 300 ms of the stall", p50)
	}
}

// Guards against processes that outlive the demo, and against a process that
// ignores SIGTERM and is killed, but counts as stopped gracefully.
func TestSupervisor(t *testing.T) {
	s := NewSupervisor(t.TempDir())
	graceful, err := s.Start("graceful", "sh", "-c", "trap 'exit 0' TERM; while :; do sleep 0.02; done")
	if err != nil {
		t.Fatal(err)
	}
	stubborn, err := s.Start("stubborn", "sh", "-c", "trap '' TERM; while :; do sleep 0.02; done")
	if err != nil {
		t.Fatal(err)
	}
	address, err := s.StartListening(context.Background(), "listener", "sh", "-c", "echo listening on 127.0.0.1:1; sleep 60")
	if err != nil || address != "127.0.0.1:1" {
		t.Fatal(address, err)
	}
	time.Sleep(100 * time.Millisecond) // until the shells have set their traps
	if err := Stop(time.Second, graceful); err != nil {
		t.Errorf("graceful stop: %v", err)
	}
	if err := Stop(100*time.Millisecond, stubborn); err == nil {
		t.Error("Stop returned no error for a process that it killed")
	}
	s.Close()
	for _, p := range s.processes {
		if !p.HasEnded() {
			t.Errorf("%s still runs", p.Name)
		}
	}
}

// Guards against two replicas of a service in one zone, which an outage of the
// zone takes away together, and against shard maps that name shards which fewer
// than two targets hold.
func TestTopology(t *testing.T) {
	d := declare.Document{Zones: []declare.Zone{{Name: "x"}, {Name: "y"}, {Name: "z"}},
		Services: []declare.Service{{Name: "a", Replicas: 2, Slots: 2, BearsCold: 1}, {Name: "b", Replicas: 3, Slots: 2, BearsCold: 1}},
		Searches: []declare.Search{{Name: "s", Services: []string{"a", "b"}}}}
	top := Topology{Document: d, Behaviour: DefaultBehaviour, ItemsPerShard: 2}
	held := map[string]int{}
	for _, z := range top.Zones("127.0.0.1:1", "v1") {
		services := map[string]bool{}
		for _, s := range z.Targets {
			if services[s.Service] {
				t.Errorf("two replicas of %s in %s", s.Service, z.Zone)
			}
			services[s.Service] = true
			for shard := range s.Snapshots[0].Shards {
				held[shard]++
			}
		}
	}
	for _, shard := range ShardMap(d.Searches[0], "v1").Snapshots[0].Shards {
		if held[shard.ID] < 2 {
			t.Errorf("shard %s is held by %d targets", shard.ID, held[shard.ID])
		}
	}
}
