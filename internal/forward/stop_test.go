package forward

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Guards against a stop that cuts requests off without an answer, that says "not run" of
// one that a replica has, or that lets replicas work beyond it. Each request begins before
// the end is set or after.
func TestRequestsEndWithTheInstance(t *testing.T) {
	const end = 30 * time.Millisecond
	names, services := shardNames(10)
	single, scatter := catalog.Route{Service: "s3"}, catalog.Route{Idempotent: true, Shards: services, TopK: 20, MinShare: 0.9}
	notSent := replica.Result{Outcome: replica.NotSent, Reason: "connection", Unreachable: true}
	for name, c := range map[string]struct {
		route catalog.Route
		set   func(f *fakeReplica)
		want  Code
	}{
		"at a replica": {single, func(f *fakeReplica) { f.answerAfter(time.Minute) }, TimedOut},
		"not sent":     {single, func(f *fakeReplica) { f.answerAlways(notSent) }, NotRun},
		"one shard":    {scatter, func(f *fakeReplica) { f.answerAfter(time.Minute) }, Merged},
		"in time":      {single, func(f *fakeReplica) { f.answerAfter(end / 2) }, Forwarded},
	} {
		for _, late := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					h := newHarness(names...).setRoute(c.route)
					h.warmUp(t, 20)
					for _, zone := range []string{"near", "far"} {
						c.set(h.replicas["s3/"+zone])
					}
					before := h.replicas["s3/near"].exchangeCount()
					ends := time.Now().Add(end)
					if late {
						h.EndRequestsAt(ends)
					} else {
						time.AfterFunc(time.Millisecond, func() { h.EndRequestsAt(ends) })
					}
					a, took := h.sendRequest(t.Context())
					if a.Code != c.want || took > end {
						t.Errorf("late %t: %s (%s) after %v, want %s within %v", late, a.Code, a.Reason, took, c.want, end)
					}
					if a.Code == NotRun && a.RetryAfter <= 0 {
						t.Error("refused without a time to come back")
					}
					if (a.Code == NotRun || a.Code == TimedOut) && a.Reason != "instance stops" {
						t.Errorf("reason %q", a.Reason)
					}
					near := h.replicas["s3/near"]
					near.mu.Lock()
					defer near.mu.Unlock()
					if late && (len(near.requests) <= before || near.requests[before].Deadline.After(ends)) {
						t.Errorf("%d requests, the replica may work beyond the end", len(near.requests)-before)
					}
				})
			})
		}
	}
}
