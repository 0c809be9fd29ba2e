package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Guards the processor time of a request: with more daemons than connections,
// the replicas of this daemon are worked out once for each snapshot, not for
// each shard of each request.
func TestCandidatesAreWorkedOutOnce(t *testing.T) {
	r := newRig("s/near", "s/far").route(catalog.Route{Service: "s", Idempotent: true})
	daemons := map[string]catalog.Daemon{"d1": {}}
	for i := range 400 {
		daemons[fmt.Sprintf("e%d", i)] = catalog.Daemon{}
	}
	r.store.SetDaemons(daemons)
	route := r.store.Load().Config.Match("h", "/p/x")
	now := time.Now()
	if n := testing.AllocsPerRun(100, func() { r.candidates(route, "s", now) }); n > 3 {
		t.Errorf("%v allocations for the candidates of a shard, want 3 at most", n)
	}
	first := r.current()
	if r.current() != first {
		t.Error("the view is made again without a change")
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
