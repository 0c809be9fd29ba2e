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

// harness runs several managers over one fake platform. It is itself the fake
// target (ExecuteOnce) and the fake connection between instances (RunOnce).
type harness struct {
	platform *platformtest.Fake
	managers map[string]*Manager

	mu           sync.Mutex
	runs         map[string]int // number of runs by request body
	targetResult outcome.Result
	targetDelay  time.Duration
}

func newHarness(names ...string) *harness {
	h := &harness{
		platform: platformtest.NewFake(), managers: map[string]*Manager{},
		runs: map[string]int{}, targetResult: outcome.Result{Code: outcome.Answered, Body: []byte(`"ok"`)},
	}
	for _, name := range names {
		h.startManager(name, "i1", names)
	}
	return h
}

func (h *harness) startManager(name, incarnation string, all []string) {
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
	h.managers[name] = NewManager(logger, Self{name, incarnation}, store, h.platform, h, h)
}

// ExecuteOnce acts as the target: it counts a run unless targetResult is NotRun.
func (h *harness) ExecuteOnce(_ context.Context, _ string, _ declare.Operation, body []byte, _ time.Time) outcome.Result {
	h.mu.Lock()
	targetResult, targetDelay := h.targetResult, h.targetDelay
	if targetResult.Code != outcome.NotRun {
		h.runs[string(body)]++
	}
	h.mu.Unlock()
	time.Sleep(targetDelay)
	return targetResult
}

func (h *harness) RunOnce(ctx context.Context, i state.Instance, req *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error) {
	m := h.managers[i.Name]
	if m == nil || m.self.Incarnation != i.Incarnation {
		return nil, errors.New("instance is gone")
	}
	return m.ServePeer(ctx, req), nil
}

func (h *harness) submit(name, key, body string) outcome.Result {
	return h.managers[name].Run(context.Background(), Request{
		ID: "r", Key: key, Operation: "order", Body: []byte(body), Deadline: time.Now().Add(time.Second),
	})
}

func (h *harness) runCount(body string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[body]
}

func checkOutcome(t *testing.T, got outcome.Result, code outcome.Code, reason outcome.Reason) {
	t.Helper()
	if got.Code != code || got.Reason != reason {
		t.Fatalf("outcome %s/%s, want %s/%s", got.Code, got.Reason, code, reason)
	}
}

// Guards against a second run when the caller resends a request through another
// instance, both while the first submission runs and after it was answered.
func TestResendThroughOtherInstanceRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		h.targetDelay = 100 * time.Millisecond
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b", "a"} {
			wg.Go(func() { checkOutcome(t, h.submit(name, "k", "1"), outcome.Answered, "") })
			synctest.Wait()
		}
		wg.Wait()
		checkOutcome(t, h.submit("b", "k", "1"), outcome.Answered, "")
		if n := h.runCount("1"); n != 1 {
			t.Fatalf("request ran %d times", n)
		}
		checkOutcome(t, h.submit("b", "k", "2"), outcome.Invalid, outcome.ReasonKeyReused)
	})
}

// Guards against replacing the claim of a sender that is gone: it may have sent
// the request, so a second sender could cause a second run.
func TestClaimOfGoneSenderIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		h.targetDelay = 10 * time.Second // the sender is paused past the deadline
		go h.submit("a", "k", "1")
		synctest.Wait()
		delete(h.managers, "a")
		checkOutcome(t, h.submit("b", "k", "1"), outcome.Unknown, outcome.ReasonSenderGone)
		if n := h.runCount("1"); n != 1 {
			t.Fatalf("request ran %d times", n)
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against treating a claim as failed when it took effect and only the
// platform's answer was lost, and against sending when the claim itself was lost.
func TestLostAnswerOfClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		h.platform.SetFault(platformtest.LoseAnswer)
		checkOutcome(t, h.submit("a", "k", "1"), outcome.Answered, "")
		h.platform.SetFault(platformtest.LoseRequest)
		checkOutcome(t, h.submit("a", "k2", "2"), outcome.Unknown, outcome.ReasonCutOff)
		h.platform.SetFault(platformtest.Healthy)
		checkOutcome(t, h.submit("b", "k2", "2"), outcome.Answered, "")
		if h.runCount("1") != 1 || h.runCount("2") != 1 {
			t.Fatalf("runs %v", h.runs)
		}
		time.Sleep(finalizeTimeout)
	})
}

// Checks the effect of a platform outage: requests with issued keys all run,
// and none with a key that the caller chose, because it cannot be claimed.
func TestPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		h.platform.SetFault(platformtest.Down)
		const n = 100
		for i := range n {
			body := fmt.Sprint("issued", i)
			key, _ := h.managers["a"].IssueKey()
			checkOutcome(t, h.submit([]string{"a", "b"}[i%2], key, body), outcome.Answered, "")
			checkOutcome(t, h.submit([]string{"b", "a"}[i%2], key, body), outcome.Answered, "")
			if h.runCount(body) != 1 {
				t.Fatalf("%s ran %d times", body, h.runCount(body))
			}
			own := fmt.Sprint("own", i)
			checkOutcome(t, h.submit("a", own, own), outcome.Unknown, outcome.ReasonCutOff)
			if h.runCount(own) != 0 {
				t.Fatalf("%s ran without a claim", own)
			}
		}
	})
}

// Guards against losing the outcomes of issued keys when their process stops,
// and against a second run of a key that it had used. The keys of a crashed
// process, which recorded nothing, have an unknown outcome.
func TestKeysOfStoppedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		used, _ := h.managers["a"].IssueKey()
		unused, _ := h.managers["a"].IssueKey()
		checkOutcome(t, h.submit("a", used, "1"), outcome.Answered, "")
		if err := h.managers["a"].Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		delete(h.managers, "a")
		checkOutcome(t, h.submit("b", used, "1"), outcome.Answered, "")
		checkOutcome(t, h.submit("b", unused, "2"), outcome.Answered, "")
		if h.runCount("1") != 1 || h.runCount("2") != 1 {
			t.Fatalf("runs %v", h.runs)
		}
		crashed := IssuedKey{"a", "i0", time.Now(), "n"}.String()
		checkOutcome(t, h.submit("b", crashed, "3"), outcome.Unknown, outcome.ReasonSenderGone)
	})
}

// Checks the invariants over random resends, target outcomes, platform faults and
// crashes: no request runs twice, one that is refused as not run has not run,
// and one that is answered ran once.
func TestAtMostOnceOverRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		h := newHarness(names...)
		keys := []string{"k0", "k1"}
		for _, name := range names[:2] {
			key, _ := h.managers[name].IssueKey()
			keys = append(keys, key)
		}
		results := []outcome.Result{
			{Code: outcome.Answered}, outcome.Refused(outcome.ReasonShed), outcome.Uncertain(outcome.ReasonTimeout),
		}
		faults := []platformtest.Fault{platformtest.Healthy, platformtest.Down, platformtest.LoseAnswer, platformtest.LoseRequest}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			h.platform.SetFault(rapid.SampledFrom(faults).Draw(t, "fault"))
			h.mu.Lock()
			h.targetResult = rapid.SampledFrom(results).Draw(t, "target")
			h.mu.Unlock()
			key := rapid.SampledFrom(keys).Draw(t, "key")
			name := rapid.SampledFrom(names).Draw(t, "instance")
			if h.managers[name] == nil {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 && name != "c" {
				delete(h.managers, name)
				continue
			}
			res := h.submit(name, key, key)
			runs := h.runCount(key)
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
