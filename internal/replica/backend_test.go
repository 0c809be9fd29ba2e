package replica

import (
	"context"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
)

// scriptedClient ends each exchange with the next of its results.
type scriptedClient struct {
	results        []Result
	closeIdleCalls int
}

func (s *scriptedClient) Send(context.Context, Request) Result {
	r := s.results[0]
	s.results = s.results[1:]
	return r
}

func (s *scriptedClient) CloseIdle() { s.closeIdleCalls++ }

func (s *scriptedClient) SetConnectionLimits(ConnectionLimits) {}

func (s *scriptedClient) Connected() bool { return false }

func (s *scriptedClient) OpenConnection(context.Context) bool { return true }

func newTestPool(c Client) *Pool {
	return NewPool(logs.OrDiscard(nil), func(string) Client { return c })
}

var twoConnections = ConnectionLimits{MaxOpen: 2, MaxIdle: 2}

var listedReplica = catalog.Replica{ID: "r1", Service: "s", Address: "10.0.0.1:80", Zone: "z", StartedAt: 1}

func sendOne(t *testing.T, p *Pool, r catalog.Replica) {
	t.Helper()
	b := p.Backend(r, twoConnections)
	b.connRamp.established = 2
	permit, denial := b.Acquire(time.Now(), Terms{Number: p.NextExchangeNumber(), Expected: time.Millisecond})
	if permit == nil {
		t.Fatalf("no permit: %s", denial.Reason)
	}
	permit.Send(t.Context(), Request{}, time.Millisecond)
}

// Guards against a retry budget spent on an address that another replica has taken
// over: it rejects each request as misdirected, and each further send counts as a
// repeat. Guards also against a replica that gets no requests after its restart.
func TestReplicaWithTakenAddressIsNotUsed(t *testing.T) {
	p := newTestPool(&scriptedClient{results: []Result{{Outcome: NotRun, Misdirected: true}}})
	sendOne(t, p, listedReplica)
	if !p.Backend(listedReplica, twoConnections).Retired() {
		t.Fatal("a replica whose address was taken over by another one is still used")
	}
	restarted := listedReplica
	restarted.StartedAt = 2
	if p.Backend(restarted, twoConnections).Retired() {
		t.Fatal("a restarted replica is not used")
	}
}

// Guards cold replicas against bursts: a limit that counts from fixed seconds
// admits twice its number around their boundary. It must hold in every span of a
// second, wherever that begins.
func TestColdLimitHoldsInAnySecond(t *testing.T) {
	b := newTestPool(&scriptedClient{}).Backend(listedReplica, ConnectionLimits{MaxOpen: 100, MaxIdle: 100})
	b.connRamp.established = 100
	start := time.Now()
	cold := start.Add(time.Minute)
	sent := 0
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if permit, _ := b.Acquire(now, Terms{Number: uint64(ms), ColdUntil: cold, ColdLimit: 5, Expected: time.Millisecond}); permit != nil {
			sent++
		}
		if ms < 1000 && sent > 5 {
			t.Fatalf("%d requests sent in the first second, want 5 at most", sent)
		}
	}
	if sent < 10 || sent > 15 {
		t.Fatalf("%d requests sent in 3 s, want 10 to 15", sent)
	}
}

// Guards against requests to the old address of a replica that restarted under
// its ID at another one, and against a late report of the earlier incarnation
// that brings the old address back.
func TestRestartedReplicaGetsNewClient(t *testing.T) {
	var clientAddresses []string
	p := NewPool(logs.OrDiscard(nil), func(address string) Client {
		clientAddresses = append(clientAddresses, address)
		return &scriptedClient{}
	})
	earlier := p.Backend(listedReplica, twoConnections)
	restarted := listedReplica
	restarted.StartedAt, restarted.Address = 2, "10.0.0.2:80"
	if p.Backend(restarted, twoConnections) == earlier || len(clientAddresses) != 2 || clientAddresses[1] != restarted.Address {
		t.Errorf("clients for %v, want those of both incarnations", clientAddresses)
	}
	if p.Backend(listedReplica, twoConnections) == earlier || len(clientAddresses) != 2 {
		t.Error("a late report brought the earlier incarnation back")
	}
}
