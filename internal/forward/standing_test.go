package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

const pause = 2 * time.Second

// reject makes the replica reject each exchange and ask for a pause.
func (f *fakeReplica) reject() *fakeReplica {
	return f.answerAlways(replica.Result{Outcome: replica.NotRun, Reason: "rejected with 503", RetryAfter: pause})
}

// Guards against requests that wait for a replica that wants none, or are lost with it,
// while another one could serve them.
func TestOtherReplicaServesDuringPause(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near", "s/far").setRoute(catalog.Route{Service: "s"})
		r.warmUp(t, 20)
		near := r.replicas["s/near"].reject()
		before, start := near.exchangeCount(), time.Now()
		for time.Since(start) < pause {
			if a, took := r.sendRequest(t.Context()); a.Code != Forwarded || took > testObjective/2 {
				t.Errorf("%s after %v: %s", a.Code, took, a.Reason)
			}
		}
		if n := near.exchangeCount() - before; n > 1 {
			t.Errorf("%d requests to a replica that wants none for %v", n, pause)
		}
		near.answerAfter(10 * time.Millisecond)
		r.sendRequest(t.Context())
		if near.exchangeCount() == before+1 {
			t.Error("the replica gets nothing after its pause")
		}
	})
}

// If all replicas of a service want no requests, callers have to be refused at once, and
// told to come back after the pause and not all at the same instant.
func TestAllReplicasPaused(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near", "s/far").setRoute(catalog.Route{Service: "s"})
		r.warmUp(t, 20)
		for _, f := range r.replicas {
			f.reject()
		}
		first := time.Now()
		r.sendRequest(t.Context())
		end := first.Add(pause)
		returns := map[time.Duration]bool{}
		for range 20 {
			a, took := r.sendRequest(t.Context())
			if a.Code != NotRun || a.Reason != replica.ReasonPaused || took > 0 {
				t.Fatalf("%s after %v: %s", a.Code, took, a.Reason)
			}
			if back := time.Now().Add(a.RetryAfter); back.Before(end) || back.After(end.Add(pause)) {
				t.Errorf("told to come back %v before the end of the pause", end.Sub(back))
			}
			returns[a.RetryAfter] = true
		}
		if len(returns) < 10 {
			t.Errorf("20 callers were given %d different delays", len(returns))
		}
	})
}

// Guards against an answer that waits for the replicas of a shard that all leave, and
// against a refusal that is late or has no delay.
func TestAllReplicasLeave(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near", "s/far").setRoute(catalog.Route{Service: "s"})
		r.warmUp(t, 20)
		for _, f := range r.replicas {
			answer := successResult(f.id, "last")
			answer.Leaving = true
			f.answerAlways(answer)
		}
		for range 2 {
			if a, _ := r.sendRequest(t.Context()); a.Code != Forwarded || a.Reply.Status != http.StatusOK {
				t.Errorf("%s: %s, with one replica left", a.Code, a.Reason)
			}
		}
		if a, took := r.sendRequest(t.Context()); a.Code != NotRun || a.RetryAfter <= 0 || took > 0 {
			t.Errorf("%s after %v, come back after %v", a.Code, took, a.RetryAfter)
		}
	})
}
