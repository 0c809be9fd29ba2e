package replica

import (
	"context"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// scripted answers each exchange with the next result.
type scripted struct {
	results []Result
	dropped int
}

func (s *scripted) Send(context.Context, Work) Result {
	r := s.results[0]
	s.results = s.results[1:]
	return r
}

func (s *scripted) DropIdle() { s.dropped++ }

func (s *scripted) SetConnections(Connections) {}

func (s *scripted) Connected() bool { return false }

func (s *scripted) Open(context.Context) bool { return true }

func poolOf(c Client) *Pool { return NewPool(func(string) Client { return c }) }

var two = Connections{Open: 2, Idle: 2}

var listed = catalog.Replica{ID: "r1", Service: "s", Address: "10.0.0.1:80", Zone: "z", Born: 1}

func send(t *testing.T, p *Pool, r catalog.Replica) {
	t.Helper()
	b := p.Backend(r, two)
	b.opening.kept = 2
	permit, why := b.Acquire(time.Now(), p.Number(), time.Time{}, 1, time.Millisecond)
	if permit == nil {
		t.Fatalf("no permit: %s", why)
	}
	permit.Send(t.Context(), Work{}, time.Millisecond)
}

// TestMovedReplicaIsLeftAlone guards the retry budget: each request to an address
// that another replica has taken counts as a repeat.
func TestMovedReplicaIsLeftAlone(t *testing.T) {
	p := poolOf(&scripted{results: []Result{{Kind: NotRun, Misdirected: true}}})
	send(t, p, listed)
	if !p.Backend(listed, two).Moved() {
		t.Fatal("a replica whose address another one has is still used")
	}
	again := listed
	again.Born = 2
	if p.Backend(again, two).Moved() {
		t.Fatal("a replica that was started again is not used")
	}
}

// TestColdLimitHoldsInAnySecond guards cold replicas: the share of one daemon
// holds in each span of a second, wherever it begins.
func TestColdLimitHoldsInAnySecond(t *testing.T) {
	b := poolOf(&scripted{}).Backend(listed, Connections{Open: 100, Idle: 100})
	b.opening.kept = 100
	start := time.Now()
	cold := start.Add(time.Minute)
	sent := 0
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if permit, _ := b.Acquire(now, uint64(ms), cold, 5, time.Millisecond); permit != nil {
			sent++
		}
		if ms < 1000 && sent > 5 {
			t.Fatalf("%d requests in the first second, want 5 at most", sent)
		}
	}
	if sent < 10 || sent > 15 {
		t.Fatalf("%d requests in 3 s, want 10 to 15", sent)
	}
}

// TestReplicaThatMovesIsDialedAnew guards against a replica that starts again under
// its ID at another address, and is asked at the old one.
func TestReplicaThatMovesIsDialedAnew(t *testing.T) {
	var dialed []string
	p := NewPool(func(address string) Client {
		dialed = append(dialed, address)
		return &scripted{}
	})
	first := p.Backend(listed, two)
	again := listed
	again.Born, again.Address = 2, "10.0.0.2:80"
	if p.Backend(again, two) == first || len(dialed) != 2 || dialed[1] != again.Address {
		t.Errorf("dialed %v", dialed)
	}
	if p.Backend(listed, two) == first || len(dialed) != 2 {
		t.Error("an older report brought the earlier incarnation back")
	}
}
