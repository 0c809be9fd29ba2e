package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// acquire asks for a permit for one request to a replica.
func acquire(p *Pool, r catalog.Replica) (*Permit, Denial) {
	b := p.Backend(r, twoConnections)
	b.connRamp.established = 2
	return b.Acquire(time.Now(), Terms{Number: p.NextExchangeNumber(), Expected: time.Millisecond})
}

// A replica that leaves says so in its answers. Guards against requests and connections to
// it after that, also if a list that is out of date, or that was lost for a while, still
// names it as ready; and against a new incarnation that gets nothing.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &scriptedClient{results: []Result{{Outcome: Complete, Leaving: true, Reply: Reply{Status: 200}}}}
		p := newTestPool(client)
		sendOne(t, p, listedReplica)
		listed := catalog.NewStore(0)
		for _, lapse := range []time.Duration{0, 10 * time.Minute} {
			if permit, _ := acquire(p, listedReplica); permit != nil || !p.Backend(listedReplica, twoConnections).Retired() {
				t.Errorf("a leaving replica is used, %v after its entry lapsed", lapse)
			}
			p.Backend(listedReplica, twoConnections).Preconnect(time.Now())
			synctest.Wait()
			if p.Backend(listedReplica, twoConnections).connRamp.inProgress || client.closeIdleCalls == 0 {
				t.Errorf("connections to a leaving replica are opened or kept")
			}
			p.RemoveUnlisted(listed.Load())
			time.Sleep(10 * time.Minute)
			p.RemoveUnlisted(listed.Load())
		}
		restarted := listedReplica
		restarted.StartedAt = 2
		if permit, denial := acquire(p, restarted); permit == nil {
			t.Errorf("a restarted replica is not used: %s", denial.Reason)
		}
	})
}

// A replica that rejects a request may say for how long it wants none from this instance.
// Guards against requests in that time, also after a later answer that names a shorter one
// or none and after its entry lapsed, and against an ejection after it.
func TestPausedReplicaGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rejected := Result{Outcome: NotRun, RetryAfter: 10 * time.Second}
		sooner := Result{Outcome: NotRun, RetryAfter: time.Second}
		answered := Result{Outcome: Complete, Reply: Reply{Status: 200}}
		p := newTestPool(&scriptedClient{results: []Result{rejected, sooner, answered}})
		start := time.Now()
		var permits []*Permit
		for range 2 {
			permit, _ := acquire(p, listedReplica)
			permits = append(permits, permit)
		}
		permits[0].Send(t.Context(), Request{}, time.Millisecond)
		permits[1].Send(t.Context(), Request{}, time.Millisecond)
		p.RemoveUnlisted(catalog.NewStore(0).Load())
		for time.Since(start) < 10*time.Second {
			if permit, denial := acquire(p, listedReplica); permit != nil || denial.Reason != ReasonPaused || denial.Until.Sub(start) != 10*time.Second {
				t.Fatalf("%v after the rejection: %+v", time.Since(start), denial)
			}
			time.Sleep(time.Second)
		}
		b := p.Backend(listedReplica, twoConnections)
		if at := b.AdmitsFrom(time.Now(), RateShare{}); !at.IsZero() || b.Restricted() || b.Ejected(time.Now()) {
			t.Errorf("after the pause: admits from %v, restricted %t, ejected %t", at, b.Restricted(), b.Ejected(time.Now()))
		}
		sendOne(t, p, listedReplica)
	})
}
