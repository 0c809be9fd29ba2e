package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/target"
)

// Allocs is the number and the size of the heap allocations of one request.
type Allocs struct{ Objects, Bytes float64 }

// measureAllocs calls f n times after a warm-up and returns the mean per call. It
// counts the allocations of the whole process, so nothing else may run.
func measureAllocs(n int, f func(i int) error) (Allocs, error) {
	for i := range n / 10 {
		if err := f(-1 - i); err != nil {
			return Allocs{}, err
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range n {
		if err := f(i); err != nil {
			return Allocs{}, err
		}
	}
	runtime.ReadMemStats(&after)
	return Allocs{float64(after.Mallocs-before.Mallocs) / float64(n), float64(after.TotalAlloc-before.TotalAlloc) / float64(n)}, nil
}

// fakeExecutor takes the place of the peer protocol and of the holder.
type fakeExecutor struct{}

// Execute answers at once with one item. Its own allocations count too.
func (fakeExecutor) Execute(_ context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	body := fmt.Appendf(nil, `{"request_id":%q,"attempt_id":%q,"snapshot":%q,"shard":%q,"complete":true,"count":1,"items":["x"]}`,
		req.RequestId, req.AttemptId, req.Snapshot, req.Shard)
	return &peerpb.ExecuteReply{AttemptId: req.AttemptId, Outcome: string(outcome.Answered), Body: body}, nil
}

type alwaysFresh struct{}

func (alwaysFresh) Ensure(context.Context) bool { return false }

// GatewayAllocs returns the allocations of a search over a number of shards in the
// instance that serves the caller, with an executor that answers at once.
func GatewayAllocs(shards int) (Allocs, error) {
	store := state.NewStore()
	store.Update(func(next *state.Snapshot) {
		next.Config.Zones = []declare.Zone{{Name: "z1"}, {Name: "z2"}}
		next.Targets, next.Loads = map[string]state.Target{}, map[string]state.Load{}
		index := state.IndexSnapshot{ID: Snapshot}
		var services []string
		for i := range shards {
			s := fmt.Sprintf("s%d", i)
			services = append(services, s)
			next.Config.Services = append(next.Config.Services, declare.Service{Name: s, Replicas: 2, Slots: 2, BearsCold: 1})
			index.Shards = append(index.Shards, state.Shard{ID: fmt.Sprintf("p%d", i), Service: s})
			for _, zone := range []string{"z1", "z2"} {
				name := s + "-" + zone
				next.Targets[name] = state.Target{Name: name, Service: s, Zone: zone, Incarnation: "1"}
				next.Loads[name] = state.Load{Target: name, Phase: state.PhaseWarm, Limit: 2, Incarnation: "1", LatencyMicros: 1000}
			}
		}
		next.Config.Searches = []declare.Search{{Name: "archive", Class: declare.ClassPartial, Priority: declare.PriorityNormal, Services: services}}
		next.ShardMaps = map[string]state.ShardMap{"archive": {Snapshots: []state.IndexSnapshot{index}}}
	})
	route := func(_ *state.Snapshot, target string) string { return "holder-of-" + target }
	g := gateway.NewGateway(nil, store, alwaysFresh{}, fakeExecutor{}, route, func(error) bool { return false }, gateway.Options{Zone: "z1"})
	return measureAllocs(300, func(i int) error {
		r := g.Search(context.Background(), gateway.SearchRequest{RequestID: fmt.Sprintf("r%d", i), Search: "archive",
			Query: json.RawMessage(`{"q":"x"}`), Deadline: time.Now().Add(2 * time.Second)})
		if r.Coverage.Answered != shards {
			return fmt.Errorf("%d of %d shards answered: %v", r.Coverage.Answered, shards, r.Result.Reason)
		}
		return nil
	})
}

// PoolAllocs returns the allocations of a request in the holder of a target. The
// target is a stand-in in another process.
func PoolAllocs(address string, service declare.Service, name, shard string) (Allocs, error) {
	pool := target.NewPool(nil, nil, target.Options{})
	t := state.Target{Name: name, Service: service.Name, Zone: "z", Address: address, Incarnation: name + "-1"}
	admit := func() (time.Time, int, outcome.Reason) { return time.Time{}, 0, outcome.ReasonNone }
	return measureAllocs(300, func(i int) error {
		r := pool.Do(context.Background(), t, service, target.Request{RequestID: fmt.Sprintf("r%d", i), AttemptID: fmt.Sprintf("r%d.0", i),
			Operation: target.OperationSearch, Snapshot: Snapshot, Shard: shard, Deadline: time.Now().Add(2 * time.Second),
			Body: []byte(`{"search":"x","query":{"q":"x"}}`), Idempotent: true}, admit)
		if r.Code != outcome.Answered {
			return fmt.Errorf("%s %s", r.Code, r.Reason)
		}
		return nil
	})
}
