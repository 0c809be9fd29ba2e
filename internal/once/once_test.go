package once

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform/platformtest"
	"github.com/baobabsill/baobabsill/internal/state"
)

// fleet is a few managers over one fake platform and one fake target.
type fleet struct {
	platform *platformtest.Fake
	managers map[string]*Manager

	mu    sync.Mutex
	runs  map[string]int // by request body
	next  outcome.Result // what the target answers
	delay time.Duration
}

func newFleet(names ...string) *fleet {
	f := &fleet{
		platform: platformtest.NewFake(), managers: map[string]*Manager{},
		runs: map[string]int{}, next: outcome.Result{Code: outcome.Answered, Body: []byte(`"ok"`)},
	}
	for _, name := range names {
		f.start(name, "i1", names)
	}
	return f
}

func (f *fleet) start(name, incarnation string, all []string) {
	store := state.NewStore()
	store.Update(func(s *state.Snapshot) {
		s.Config.Operations = []declare.Operation{{Name: "order", Services: []string{"shop"}}}
		s.Instances = map[string]state.Instance{}
		for _, other := range all {
			if other != name {
				s.Instances[other] = state.Instance{Name: other, Incarnation: "i1"}
			}
		}
	})
	logger := &log.Logger{Level: log.PanicLevel}
	f.managers[name] = NewManager(logger, Self{name, incarnation}, store, f.platform, f, f)
}

// Single stands for the target: it runs the request unless it refuses it.
func (f *fleet) Single(_ context.Context, _ string, _ declare.Operation, body []byte, _ time.Time) outcome.Result {
	f.mu.Lock()
	next, delay := f.next, f.delay
	if next.Code != outcome.NotRun {
		f.runs[string(body)]++
	}
	f.mu.Unlock()
	time.Sleep(delay)
	return next
}

func (f *fleet) RunOnce(ctx context.Context, i state.Instance, req *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error) {
	m := f.managers[i.Name]
	if m == nil || m.self.Incarnation != i.Incarnation {
		return nil, errors.New("instance is gone")
	}
	return m.ServePeer(ctx, req), nil
}

func (f *fleet) run(name, key, body string) outcome.Result {
	return f.managers[name].Run(context.Background(), Request{
		ID: "r", Key: key, Operation: "order", Body: []byte(body), Deadline: time.Now().Add(time.Second),
	})
}

func (f *fleet) runsOf(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

func expect(t *testing.T, got outcome.Result, code outcome.Code, reason outcome.Reason) {
	t.Helper()
	if got.Code != code || got.Reason != reason {
		t.Fatalf("outcome %s/%s, want %s/%s", got.Code, got.Reason, code, reason)
	}
}

// Guards against a second run when the caller resends through another
// instance, before and after the first answer was recorded.
func TestResendThroughOtherInstanceRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.delay = 100 * time.Millisecond
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b", "a"} {
			wg.Go(func() { expect(t, f.run(name, "k", "1"), outcome.Answered, "") })
			synctest.Wait()
		}
		wg.Wait()
		expect(t, f.run("b", "k", "1"), outcome.Answered, "")
		if n := f.runsOf("1"); n != 1 {
			t.Fatalf("request ran %d times", n)
		}
		expect(t, f.run("b", "k", "2"), outcome.Invalid, outcome.ReasonKeyReused)
	})
}

// Guards against a take-over of a claim whose sender is gone and may have
// sent the request.
func TestClaimOfGoneSenderIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.delay = 10 * time.Second // the sender is paused past the deadline
		go f.run("a", "k", "1")
		synctest.Wait()
		delete(f.managers, "a")
		expect(t, f.run("b", "k", "1"), outcome.Unknown, outcome.ReasonSenderGone)
		if n := f.runsOf("1"); n != 1 {
			t.Fatalf("request ran %d times", n)
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against treating a lost answer of the platform as a refusal after
// the claim took effect, and against sending without a claim.
func TestLostAnswerOfClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.platform.SetFault(platformtest.LoseAnswer)
		expect(t, f.run("a", "k", "1"), outcome.Answered, "")
		f.platform.SetFault(platformtest.LoseRequest)
		expect(t, f.run("a", "k2", "2"), outcome.Unknown, outcome.ReasonCutOff)
		f.platform.SetFault(platformtest.Healthy)
		expect(t, f.run("b", "k2", "2"), outcome.Answered, "")
		if f.runsOf("1") != 1 || f.runsOf("2") != 1 {
			t.Fatalf("runs %v", f.runs)
		}
		time.Sleep(settleTimeout)
	})
}

// Counts what a platform outage costs: no request with a key of the caller's
// own runs, and all of those with issued keys run.
func TestPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.platform.SetFault(platformtest.Down)
		const n = 100
		for i := range n {
			body := fmt.Sprint("issued", i)
			key, _ := f.managers["a"].IssueKey()
			expect(t, f.run([]string{"a", "b"}[i%2], key, body), outcome.Answered, "")
			expect(t, f.run([]string{"b", "a"}[i%2], key, body), outcome.Answered, "")
			if f.runsOf(body) != 1 {
				t.Fatalf("%s ran %d times", body, f.runsOf(body))
			}
			own := fmt.Sprint("own", i)
			expect(t, f.run("a", own, own), outcome.Unknown, outcome.ReasonCutOff)
			if f.runsOf(own) != 0 {
				t.Fatalf("%s ran without a claim", own)
			}
		}
	})
}

// Guards against a stopped process leaving its issued keys undecidable, and
// against running one of them that it had used.
func TestKeysOfStoppedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		used, _ := f.managers["a"].IssueKey()
		unused, _ := f.managers["a"].IssueKey()
		expect(t, f.run("a", used, "1"), outcome.Answered, "")
		if err := f.managers["a"].Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		delete(f.managers, "a")
		expect(t, f.run("b", used, "1"), outcome.Answered, "")
		expect(t, f.run("b", unused, "2"), outcome.Answered, "")
		if f.runsOf("1") != 1 || f.runsOf("2") != 1 {
			t.Fatalf("runs %v", f.runs)
		}
		crashed := IssuedKey{"a", "i0", time.Now(), "n"}.String()
		expect(t, f.run("b", crashed, "3"), outcome.Unknown, outcome.ReasonSenderGone)
	})
}

// Guards the invariants over random resends, target outcomes and faults:
// nothing runs twice, and what was last refused as not run has not run.
func TestAtMostOnceOverRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		f := newFleet(names...)
		keys := []string{"k0", "k1"}
		for _, name := range names[:2] {
			key, _ := f.managers[name].IssueKey()
			keys = append(keys, key)
		}
		results := []outcome.Result{
			{Code: outcome.Answered}, outcome.Refused(outcome.ReasonShed), outcome.Uncertain(outcome.ReasonTimeout),
		}
		faults := []platformtest.Fault{platformtest.Healthy, platformtest.Down, platformtest.LoseAnswer, platformtest.LoseRequest}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			f.platform.SetFault(rapid.SampledFrom(faults).Draw(t, "fault"))
			f.mu.Lock()
			f.next = rapid.SampledFrom(results).Draw(t, "target")
			f.mu.Unlock()
			key := rapid.SampledFrom(keys).Draw(t, "key")
			name := rapid.SampledFrom(names).Draw(t, "instance")
			if f.managers[name] == nil {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 && name != "c" {
				delete(f.managers, name)
				continue
			}
			res := f.run(name, key, key)
			runs := f.runsOf(key)
			if runs > 1 {
				t.Fatalf("key %s ran %d times", key, runs)
			}
			if res.Code == outcome.NotRun && runs != 0 {
				t.Fatalf("key %s refused as not run (%s) and ran", key, res.Reason)
			}
			if res.Code == outcome.Answered && runs != 1 {
				t.Fatalf("key %s answered and ran %d times", key, runs)
			}
		}
	})
}
