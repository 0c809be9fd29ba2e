package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// With more instances than connections, finding the replicas that this instance may
// send to means ranking all instances for each replica. This has to be done once for
// each snapshot; for each shard of each request, it costs too much processor time.
func TestCandidatesAreComputedOnce(t *testing.T) {
	r := newHarness("s/near", "s/far").setRoute(catalog.Route{Service: "s", Idempotent: true})
	instances := map[string]catalog.Instance{"d1": {}}
	for i := range 400 {
		instances[fmt.Sprintf("e%d", i)] = catalog.Instance{}
	}
	r.store.SetInstances(instances)
	route := r.store.Load().Config.Match("h", "/p/x")
	now := time.Now()
	if n := testing.AllocsPerRun(100, func() { r.candidates(route, "s", now) }); n > 3 {
		t.Errorf("%v allocations for the candidates of a shard, want 3 at most", n)
	}
	first := r.currentView()
	if r.currentView() != first {
		t.Error("the view was computed again without a change")
	}
	r.store.UpdateReplicas(func(replicas map[string]catalog.Replica) {
		x := replicas["s/near"]
		x.Draining = true
		replicas["s/near"] = x
	})
	if list := r.candidates(route, "s", now); len(list) > 1 || len(list) == 1 && list[0].replica.ID == "s/near" {
		t.Errorf("a draining replica is a candidate: %v", list)
	}
}
