package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// fakeReplica is a replica.Client for a synctest bubble. It answers each exchange
// with what answer returns, after the duration that answer returns. answer gets the
// number of the exchange, from 0.
type fakeReplica struct {
	id     string
	answer func(n int, request replica.Request) (time.Duration, replica.Result)

	mu       sync.Mutex
	times    []time.Time // starts of the exchanges
	requests []replica.Request
}

func (f *fakeReplica) Send(ctx context.Context, request replica.Request) replica.Result {
	f.mu.Lock()
	n := len(f.times)
	f.times = append(f.times, time.Now())
	f.requests = append(f.requests, request)
	f.mu.Unlock()
	took, res := f.answer(n, request)
	select {
	case <-time.After(took):
		return res
	case <-ctx.Done():
		return replica.Result{Outcome: replica.Lost, Reason: "given up"}
	}
}

func (f *fakeReplica) CloseIdle()                                   {}
func (f *fakeReplica) SetConnectionLimits(replica.ConnectionLimits) {}
func (f *fakeReplica) Connected() bool                              { return true }
func (f *fakeReplica) OpenConnection(context.Context) bool          { return true }

// exchangeCount returns the number of exchanges so far, unanswered ones included.
func (f *fakeReplica) exchangeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.times)
}

// successResult returns a complete reply with status 200, signed for a replica.
func successResult(id, body string) replica.Result {
	return replica.Result{
		Outcome: replica.Complete, RateLimit: replica.RateLimit{Statement: replica.RateLimitAbsent},
		Reply: replica.Reply{Status: http.StatusOK, Body: []byte(body), Signature: "sig-" + id},
	}
}

// answerAfter makes the replica answer each exchange with success after took.
func (f *fakeReplica) answerAfter(took time.Duration) *fakeReplica {
	f.answer = func(int, replica.Request) (time.Duration, replica.Result) {
		return took, successResult(f.id, fmt.Sprintf("%016s", f.id))
	}
	return f
}

// answerAlways makes the replica end each exchange with r after 1 ms.
func (f *fakeReplica) answerAlways(r replica.Result) *fakeReplica {
	f.answer = func(int, replica.Request) (time.Duration, replica.Result) { return time.Millisecond, r }
	return f
}

// harness is a Forwarder with fake replicas.
type harness struct {
	*Forwarder
	store    *catalog.Store
	replicas map[string]*fakeReplica // by address
}

var testRegions = map[string]string{"near": "home", "far": "abroad"}

const testObjective = 200 * time.Millisecond

// newHarness returns a harness with replicas named SERVICE/ZONE. They answer after
// 10 ms in zone near and after 40 ms in zone far.
func newHarness(names ...string) *harness {
	return newInstanceHarness("d1", map[string]catalog.Instance{"d1": {}}, map[string]*fakeReplica{}, names...)
}

// newInstanceHarness returns the harness of the instance self of several that share
// the replicas. Those of names that are not in replicas are added.
func newInstanceHarness(self string, instances map[string]catalog.Instance, replicas map[string]*fakeReplica, names ...string) *harness {
	r := &harness{store: catalog.NewStore(time.Second), replicas: replicas}
	list := map[string]catalog.Replica{}
	for _, name := range names {
		var service, zone string
		for i := range name {
			if name[i] == '/' {
				service, zone = name[:i], name[i+1:]
			}
		}
		took := 10 * time.Millisecond
		if zone == "far" {
			took = 40 * time.Millisecond
		}
		if r.replicas[name] == nil {
			r.replicas[name] = (&fakeReplica{id: name}).answerAfter(took)
		}
		list[name] = catalog.Replica{ID: name, Service: service, Address: name, Zone: zone, Slots: 4}
	}
	r.store.UpdateReplicas(func(replicas map[string]catalog.Replica) {
		for id, rep := range list {
			replicas[id] = rep
		}
	})
	r.store.SetInstances(instances)
	pool := replica.NewPool(logs.OrDiscard(nil), func(address string) replica.Client { return r.replicas[address] })
	r.Forwarder = NewForwarder(logs.OrDiscard(nil), tally.NoopScope, r.store, pool, nil, Options{
		Location:   Location{Zone: "near", Region: "home", Regions: testRegions},
		Shares:     Shares{Self: self, ColdOverage: 1, ColdSlack: 0},
		RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second, MaxInFlight: 1000,
	})
	return r
}

// setRoute makes route the only route of the configuration in force, which declares
// the services of all replicas.
func (r *harness) setRoute(route catalog.Route) *harness {
	route.Name, route.Host, route.Prefix = "r", "h", "/p/"
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	route.Objective = testObjective
	route.MaxAttempts = max(route.MaxAttempts, 2)
	var services []catalog.Service
	for name := range r.replicas {
		rep, _ := r.store.Load().Replica(name)
		if !slices.ContainsFunc(services, func(s catalog.Service) bool { return s.Name == rep.Service }) {
			services = append(services, catalog.Service{Name: rep.Service, MaxConnections: 100, ColdRate: 10})
		}
	}
	r.store.SetConfig(catalog.NewConfig(time.Now().UnixNano(), []catalog.Route{route}, services, catalog.Limits{}))
	return r
}

// sendRequest serves one request and returns its answer and latency.
func (r *harness) sendRequest(ctx context.Context) (Answer, time.Duration) {
	return r.sendAttempt(ctx, "a1")
}

// sendAttempt serves one request with an attempt ID and returns its answer and latency.
func (r *harness) sendAttempt(ctx context.Context, id string) (Answer, time.Duration) {
	start := time.Now()
	a := r.Serve(ctx, &Request{
		AttemptID: id, Method: "GET", URI: "/p/x", Path: "/p/x", Host: "h", Arrived: start, CallerTimeout: 2 * time.Second,
	})
	return a, time.Since(start)
}

// warmUp sends n requests, so that latencies are known and the retry budget has
// grown.
func (r *harness) warmUp(t *testing.T, n int) {
	t.Helper()
	for range n {
		if a, _ := r.sendRequest(t.Context()); a.Code != Forwarded && a.Code != Merged {
			t.Fatalf("warm-up ended with %s: %s", a.Code, a.Reason)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runInBubble runs f in a synctest bubble.
func runInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute) // until the exchanges left in flight end
	})
}
