package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// TestMain sets a fixed seed, so that the property tests have the same result in
// every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var errNotSent = errors.New("connection refused")

// fakeExecutor calls do for each sub-request and records the requests in order.
type fakeExecutor struct {
	do   func(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error)
	mu   sync.Mutex
	sent []*peerpb.ExecuteRequest
}

func (f *fakeExecutor) Execute(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	f.mu.Lock()
	f.sent = append(f.sent, req)
	f.mu.Unlock()
	return f.do(ctx, instance, req)
}

type alwaysFresh struct{}

func (alwaysFresh) Ensure(context.Context) bool { return false }

// waitOrDone waits for d, or returns the error of ctx.
func waitOrDone(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// completeReply returns a valid, complete reply with the given items.
func completeReply(req *peerpb.ExecuteRequest, items ...string) *peerpb.ExecuteReply {
	p := shardReply{RequestID: req.RequestId, AttemptID: req.AttemptId, Snapshot: req.Snapshot, Shard: req.Shard,
		Complete: true, Count: len(items), Items: []json.RawMessage{}}
	for _, item := range items {
		p.Items = append(p.Items, json.RawMessage(fmt.Sprintf("%q", item)))
	}
	body, _ := json.Marshal(p)
	return &peerpb.ExecuteReply{AttemptId: req.AttemptId, Outcome: string(outcome.Answered), Body: body}
}

func notRun(req *peerpb.ExecuteRequest, r outcome.Reason) *peerpb.ExecuteReply {
	return &peerpb.ExecuteReply{AttemptId: req.AttemptId, Outcome: string(outcome.NotRun), Reason: string(r)}
}

// newTestStore returns a state with two index snapshots, v1 and v2, of a search
// with n shards. Shard i belongs to the service s<i> with the warm targets s<i>-a
// in zone z1 and s<i>-b in zone z2.
func newTestStore(n int, class declare.Class) *state.Store {
	store := state.NewStore()
	store.Update(func(next *state.Snapshot) {
		next.Config.Zones = []declare.Zone{{Name: "z1"}, {Name: "z2"}}
		targets, loads := map[string]state.Target{}, map[string]state.Load{}
		old, latest := state.IndexSnapshot{ID: "v1"}, state.IndexSnapshot{ID: "v2"}
		services := []string{}
		for i := range n {
			s := fmt.Sprintf("s%d", i)
			services = append(services, s)
			next.Config.Services = append(next.Config.Services, declare.Service{Name: s, Replicas: 2, Slots: 2, BearsCold: 1})
			old.Shards = append(old.Shards, state.Shard{ID: fmt.Sprintf("p%d", i), Service: s})
			latest.Shards = append(latest.Shards, state.Shard{ID: fmt.Sprintf("p%d", i), Service: s})
			for r, zone := range map[string]string{"a": "z1", "b": "z2"} {
				name := s + "-" + r
				targets[name] = state.Target{Name: name, Service: s, Zone: zone, Incarnation: "1"}
				loads[name] = state.Load{Target: name, Phase: state.PhaseWarm, Limit: 2, Incarnation: "1", LatencyMicros: 1000}
			}
		}
		next.Targets, next.Loads = targets, loads
		next.Config.Searches = []declare.Search{{Name: "archive", Class: class, Priority: declare.PriorityNormal, Services: services}}
		next.Config.Operations = []declare.Operation{{Name: "order", Services: services}}
		next.ShardMaps = map[string]state.ShardMap{"archive": {Snapshots: []state.IndexSnapshot{old, latest}}}
	})
	return store
}

func setLoad(store *state.Store, l state.Load) {
	store.Update(func(next *state.Snapshot) {
		next.Loads = maps.Clone(next.Loads)
		l.Incarnation = "1"
		next.Loads[l.Target] = l
	})
}

func newGateway(store *state.Store, f *fakeExecutor, o Options) *Gateway {
	o.Zone = "z1"
	route := func(_ *state.Snapshot, target string) string { return "holder-of-" + target }
	return NewGateway(nil, store, alwaysFresh{}, f, route, func(err error) bool { return errors.Is(err, errNotSent) }, o)
}

func request(i int) SearchRequest {
	return SearchRequest{RequestID: fmt.Sprintf("r%d", i), Search: "archive", Query: json.RawMessage(`{}`), Deadline: time.Now().Add(time.Second)}
}
