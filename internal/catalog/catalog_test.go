package catalog

import (
	"testing"
	"time"
)

func merged(reports ...Replica) Replica {
	replicas := map[string]Replica{}
	for _, r := range reports {
		r.ID = "r"
		Merge(replicas, r)
	}
	return replicas["r"]
}

// Guards against reports that arrive late: of an earlier incarnation, or of the
// time before a replica drained.
func TestReportsOutOfOrder(t *testing.T) {
	if r := merged(Replica{Born: 2, Sequence: 1}, Replica{Born: 1, Sequence: 9, Draining: true}); r.Draining {
		t.Error("a report of an earlier incarnation counts")
	}
	if r := merged(Replica{Born: 1, Sequence: 5, Draining: true}, Replica{Born: 1, Sequence: 4}); !r.Draining {
		t.Error("an older report undoes the draining")
	}
	if r := merged(Replica{Born: 1, Sequence: 5, Draining: true}, Replica{Born: 1, Sequence: 6}); !r.Draining {
		t.Error("an incarnation that drains became ready")
	}
	if r := merged(Replica{Born: 1, Sequence: 5, Draining: true}, Replica{Born: 2, Sequence: 1}); r.Draining {
		t.Error("a new incarnation drains as the earlier one did")
	}
}

// Guards against a cold start that is taken for longer than it is because reports
// arrive late, and against one that is not seen.
func TestEndOfColdStart(t *testing.T) {
	start := time.Now()
	at := func(seq int64, left, until time.Duration) Replica {
		return Replica{Born: 1, Sequence: seq, WarmupLeft: left, ColdUntil: start.Add(until)}
	}
	r := merged(at(1, 3*time.Second, 3*time.Second), at(2, 2*time.Second, 3500*time.Millisecond))
	if !r.IsCold(start.Add(2900*time.Millisecond)) || r.IsCold(start.Add(3100*time.Millisecond)) {
		t.Errorf("cold until %v, want 3s", r.ColdUntil.Sub(start))
	}
	r = merged(at(1, time.Second, time.Second), at(2, 3*time.Second, 5*time.Second))
	if !r.IsCold(start.Add(4 * time.Second)) {
		t.Error("a replica that turned cold again counts as warm")
	}
	if r = merged(at(1, time.Second, time.Second), Replica{Born: 1, Sequence: 2}); r.IsCold(start) {
		t.Error("a replica that reports no cold start counts as cold")
	}
}

func TestMatchTakesLongestPrefix(t *testing.T) {
	c := NewConfig(1, []Route{{Name: "a", Host: "h", Prefix: "/p/"}, {Name: "b", Host: "h", Prefix: "/p/q/"}}, nil, Limits{})
	for path, want := range map[string]string{"/p/x": "a", "/p/q/x": "b", "/p/qx": "a", "/q/": "", "/p": ""} {
		got := ""
		if r := c.Match("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s goes to %q, want %q", path, got, want)
		}
	}
}

// Guards against a configuration that reverts.
func TestConfigDoesNotRevert(t *testing.T) {
	s := NewStore(0)
	if !s.SetConfig(NewConfig(5, nil, nil, Limits{})) {
		t.Fatal("the first version is not in force")
	}
	if s.SetConfig(NewConfig(4, nil, nil, Limits{})) || s.Load().Config.Version != 5 {
		t.Error("an older version came into force")
	}
}

// Guards against replicas that come back cold with their zone before they say so.
func TestReplicasOfReturningZoneCountAsCold(t *testing.T) {
	now := time.Now()
	s := NewStore(2 * time.Second)
	s.UpdateReplicas(func(replicas map[string]Replica) { replicas["r"] = Replica{ID: "r", Zone: "z"} })
	s.SetEvacuated(map[string]bool{"z": true}, now)
	s.SetEvacuated(nil, now)
	if r, _ := s.Load().Replica("r"); !r.IsCold(now.Add(time.Second)) || r.IsCold(now.Add(3*time.Second)) {
		t.Errorf("cold until %v after the return", r.ColdUntil.Sub(now))
	}
}
