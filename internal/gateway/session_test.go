package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// scriptedExecutor returns a function for fakeExecutor that replies by a script of
// lines "target behavior [delay]". The first field may also be an instance or "*".
// A behavior may be limited to an index snapshot: "v2:not-run/snapshot-gone". A
// sub-request without a line is not sent.
func scriptedExecutor(script string) func(context.Context, string, *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	return func(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
		for line := range strings.Lines(script) {
			f := append(strings.Fields(line), "1ms")
			if f[0] != req.Target && f[0] != "*" && f[0] != instance {
				continue
			}
			behavior := f[1]
			if snapshot, limited, ok := strings.Cut(behavior, ":"); ok {
				if snapshot != req.Snapshot {
					continue
				}
				behavior = limited
			}
			d, _ := time.ParseDuration(f[2])
			if err := waitOrDone(ctx, d); err != nil {
				return nil, err
			}
			return makeReply(behavior, req)
		}
		return nil, errNotSent
	}
}

func makeReply(behavior string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	kind, detail, _ := strings.Cut(behavior, "/")
	r := completeReply(req, req.Snapshot+"."+req.Shard)
	change := func(f func(p *shardReply)) {
		var p shardReply
		_ = json.Unmarshal(r.Body, &p)
		f(&p)
		r.Body, _ = json.Marshal(p)
	}
	switch kind {
	case "ok":
	case "empty":
		r = completeReply(req)
	case "not-run":
		r = notRun(req, outcome.Reason(detail))
		if holder, ok := strings.CutPrefix(detail, "no-right="); ok {
			r.Reason, r.Holder = string(outcome.ReasonNoLease), holder
		}
	case "crossed":
		r = notRun(req, outcome.Reason(detail))
		r.AttemptId = "x"
	case "unsent":
		return nil, errNotSent
	case "broken":
		return nil, errors.New("connection reset")
	case "other-attempt":
		r.AttemptId = "x"
	case "other-shard":
		change(func(p *shardReply) { p.Shard = "p9" })
	case "other-snapshot":
		change(func(p *shardReply) { p.Snapshot = "v1" })
	case "other-request":
		change(func(p *shardReply) { p.RequestID = "r9" })
	case "partial":
		change(func(p *shardReply) { p.Complete = false })
	case "miscounted":
		change(func(p *shardReply) { p.Count++ })
	case "cut":
		r.Body = r.Body[:len(r.Body)/2]
	case "ran":
		r.Body = fmt.Appendf(nil, `{"request_id":%q,"attempt_id":%q,"ran":true,"result":"done"}`, req.RequestId, req.AttemptId)
	default:
		panic(behavior)
	}
	return r, nil
}

// Guards against answers that mix index snapshots, overstate their coverage or
// contain replies to other requests, and against sub-requests that the retry
// rules forbid. The comment of each case in the file says what it checks.
func TestSessions(t *testing.T) {
	datadriven.RunTest(t, "testdata/sessions", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			shards, tokens, class := 2, 20, string(declare.ClassPartial)
			for key, into := range map[string]any{"shards": &shards, "tokens": &tokens, "class": &class} {
				if d.HasArg(key) {
					d.ScanArgs(t, key, into)
				}
			}
			f := &fakeExecutor{do: scriptedExecutor(d.Input)}
			store := newTestStore(shards, declare.Class(class))
			if d.HasArg("third") {
				store.Update(func(next *state.Snapshot) {
					next.Targets = maps.Clone(next.Targets)
					next.Targets["s0-c"] = state.Target{Name: "s0-c", Service: "s0", Zone: "z1", Incarnation: "1"}
				})
			}
			g := newGateway(store, f, Options{})
			g.budget.milliTokens.Store(int64(tokens) * milliPerToken)
			if d.Cmd == "single" {
				op := declare.Operation{Name: "order", Services: []string{"s0", "s1"}}
				r := g.ExecuteOnce(t.Context(), "r1", op, []byte("{}"), time.Now().Add(time.Second))
				fmt.Fprintf(&out, "%s %s %s\n", r.Code, r.Reason, r.Body)
			} else {
				r := g.Search(t.Context(), request(1))
				fmt.Fprintf(&out, "%s %s snapshot=%s coverage=%d/%d missing=%v items=%s\n", r.Result.Code, r.Result.Reason,
					r.Snapshot, r.Coverage.Answered, r.Coverage.Total, r.Coverage.Missing, r.Items)
			}
			synctest.Wait()
			slices.SortFunc(f.sent, func(a, b *peerpb.ExecuteRequest) int { return cmp.Compare(a.AttemptId, b.AttemptId) })
			for _, s := range f.sent {
				if d.HasArg("sent") {
					fmt.Fprintf(&out, "sent %s %s %s idempotent=%v\n", s.Target, s.AttemptId, s.Snapshot, s.Idempotent)
				}
			}
		})
		return out.String()
	})
}
