package catalog

import (
	"testing"
	"time"
)

// mergeReports returns the state of one replica after reports in the given order.
func mergeReports(reports ...Replica) Replica {
	replicas := map[string]Replica{}
	for _, r := range reports {
		r.ID = "r"
		Merge(replicas, r)
	}
	return replicas["r"]
}

// Reports may arrive out of order. An old report, from an earlier incarnation or from
// before the replica started to drain, must not undo what a newer one said: it would
// make a draining replica get requests, or a new one get none.
func TestReportsOutOfOrder(t *testing.T) {
	if r := mergeReports(Replica{StartedAt: 2, Sequence: 1}, Replica{StartedAt: 1, Sequence: 9, Draining: true}); r.Draining {
		t.Error("a report of an earlier incarnation was applied")
	}
	if r := mergeReports(Replica{StartedAt: 1, Sequence: 5, Draining: true}, Replica{StartedAt: 1, Sequence: 4}); !r.Draining {
		t.Error("an older report ended the draining")
	}
	if r := mergeReports(Replica{StartedAt: 1, Sequence: 5, Draining: true}, Replica{StartedAt: 1, Sequence: 6}); !r.Draining {
		t.Error("a newer report ended the draining of the same incarnation")
	}
	if r := mergeReports(Replica{StartedAt: 1, Sequence: 5, Draining: true}, Replica{StartedAt: 2, Sequence: 1}); r.Draining {
		t.Error("a new incarnation inherited the draining of the earlier one")
	}
}

// The end of a cold start is computed from reports that may arrive late. A late report
// must not prolong the cold start, and a replica that becomes cold again must not
// count as warm.
func TestEndOfColdStart(t *testing.T) {
	start := time.Now()
	report := func(seq int64, left, until time.Duration) Replica {
		return Replica{StartedAt: 1, Sequence: seq, WarmupLeft: left, ColdUntil: start.Add(until)}
	}
	r := mergeReports(report(1, 3*time.Second, 3*time.Second), report(2, 2*time.Second, 3500*time.Millisecond))
	if !r.IsCold(start.Add(2900*time.Millisecond)) || r.IsCold(start.Add(3100*time.Millisecond)) {
		t.Errorf("cold until %v, want 3s", r.ColdUntil.Sub(start))
	}
	r = mergeReports(report(1, time.Second, time.Second), report(2, 3*time.Second, 5*time.Second))
	if !r.IsCold(start.Add(4 * time.Second)) {
		t.Error("a replica that became cold again counts as warm")
	}
	if r = mergeReports(report(1, time.Second, time.Second), Replica{StartedAt: 1, Sequence: 2}); r.IsCold(start) {
		t.Error("a replica that reports no cold start counts as cold")
	}
}

// If several routes of a host match a path, the one with the longest prefix applies,
// even if a shorter one is declared first. A path that only begins like a prefix, such
// as /p for /p/, must not match.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := NewConfig(1, []Route{{Name: "a", Host: "h", Prefix: "/p/"}, {Name: "b", Host: "h", Prefix: "/p/q/"}}, nil, Limits{})
	for path, want := range map[string]string{"/p/x": "a", "/p/q/x": "b", "/p/qx": "a", "/q/": "", "/p": ""} {
		got := ""
		if r := c.Match("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s matches route %q, want %q", path, got, want)
		}
	}
}

// Configurations may arrive out of order. An older version must not replace a newer
// one that is already in force.
func TestConfigDoesNotRevert(t *testing.T) {
	s := NewStore(0)
	if !s.SetConfig(NewConfig(5, nil, nil, Limits{})) {
		t.Fatal("the first configuration was not applied")
	}
	if s.SetConfig(NewConfig(4, nil, nil, Limits{})) || s.Load().Config.Version != 5 {
		t.Error("an older version replaced a newer one")
	}
}

// After the evacuation of their zone, replicas may be cold before a report says so.
// They have to count as cold at first, or they get more requests than they can serve.
func TestReplicasOfReturningZoneCountAsCold(t *testing.T) {
	now := time.Now()
	s := NewStore(2 * time.Second)
	s.UpdateReplicas(func(replicas map[string]Replica) { replicas["r"] = Replica{ID: "r", Zone: "z"} })
	s.SetEvacuated(map[string]bool{"z": true}, now)
	s.SetEvacuated(nil, now)
	if r, _ := s.Load().Replica("r"); !r.IsCold(now.Add(time.Second)) || r.IsCold(now.Add(3*time.Second)) {
		t.Errorf("cold for %v after the evacuation, want 2s", r.ColdUntil.Sub(now))
	}
}
