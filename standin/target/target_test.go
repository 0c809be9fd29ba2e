package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func startTarget(t *testing.T, b Behaviour) *Target {
	t.Helper()
	tg := New("z", Spec{Service: "s", Name: "s-1", Listen: "127.0.0.1:0", Behaviour: b,
		Snapshots: []Snapshot{{"v1", map[string]int{"a": 2}}}})
	if err := tg.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.Kill)
	return tg
}

// send makes one request and returns the status, X-Outcome and body.
func send(ctx context.Context, tg *Target, path, snapshot string, deadline time.Time) (int, string, map[string]any) {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+tg.Address()+path, strings.NewReader(`{"query":{"q":"x"},"key":"k"}`))
	if err != nil {
		return 0, err.Error(), nil
	}
	for k, v := range map[string]string{"X-Request-Id": "r", "X-Attempt-Id": "a", "X-Snapshot": snapshot,
		"X-Shard": "a", "X-Deadline-Unix-Ms": fmt.Sprint(deadline.UnixMilli())} {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 && (resp.Header.Get("X-Request-Id") != "r" || resp.Header.Get("X-Attempt-Id") != "a") {
		return 0, "refusal without the identifiers of the request", nil
	}
	var body map[string]any
	err = json.NewDecoder(resp.Body).Decode(&body)
	if resp.StatusCode == 200 && err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, resp.Header.Get("X-Outcome"), body
}

func longDeadline() time.Time { return time.Now().Add(5 * time.Second) }

// Guards against a cold target that bears one request at once but takes two, does
// not shed all requests after that, or does not count the violation: tests of the
// cold limit would then prove nothing. Also guards against a target that stays cold
// after the requests that end its cold start.
func TestColdLimit(t *testing.T) {
	tg := startTarget(t, Behaviour{Slots: 2, BearsCold: 1, Connections: 9, ServiceMS: 60, ColdRequests: 2, OverloadMS: 150})
	ctx := context.Background()
	var wg sync.WaitGroup
	sendTwo := func() map[int]int {
		codes := make(chan int, 2)
		for range 2 {
			wg.Go(func() { code, _, _ := send(ctx, tg, "/search", "v1", longDeadline()); codes <- code })
		}
		wg.Wait()
		return map[int]int{<-codes: 1, <-codes: 2}
	}
	send(ctx, tg, "/search", "v1", longDeadline()) // its answer tells the sender of the cold start
	if got := sendTwo(); got[200] == 0 || got[503] == 0 {
		t.Fatalf("two at once while cold: %v", got)
	}
	if _, outcome, _ := send(ctx, tg, "/search", "v1", longDeadline()); outcome != "shed" {
		t.Fatalf("outcome %q after the overload, want shed", outcome)
	}
	if c := tg.Counts(); c.ColdViolations != 1 || c.UnwarnedViolations != 0 || c.MaxCold != 2 {
		t.Fatalf("%+v", c)
	}
	time.Sleep(200 * time.Millisecond)
	send(ctx, tg, "/search", "v1", longDeadline())
	send(ctx, tg, "/search", "v1", longDeadline())
	if got := sendTwo(); got[503] != 0 || tg.Counts().MaxWarm != 2 {
		t.Fatalf("two at once while warm: %v, %+v", got, tg.Counts())
	}
}

// Guards against a closed connection that keeps its slot. A request that ran to its end
// is not cancelled.
func TestCancellationFreesTheSlot(t *testing.T) { cancelAndSendAgain(t, true) }

// Guards against a request of the same sender that counts as overload because the target
// notices it before the close.
func TestRequestRightAfterCancellation(t *testing.T) { cancelAndSendAgain(t, false) }

// cancelAndSendAgain cancels a request once it runs and sends the next one, in rounds. If
// awaitCancellation is set, the next one is sent after the target has noticed.
func cancelAndSendAgain(t *testing.T, awaitCancellation bool) {
	const serviceTime = 400 * time.Millisecond
	tg := startTarget(t, Behaviour{Slots: 1, BearsCold: 1, Connections: 9, ServiceMS: float64(serviceTime.Milliseconds()), ColdRequests: 1000, OverloadMS: 50})
	eventually := func(what string, f func(Counts) bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(tg.Counts()); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never %s: %+v", what, tg.Counts())
			}
		}
	}
	for n := range int64(20) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			send(ctx, tg, "/search", "v1", longDeadline())
		}()
		eventually("running", func(c Counts) bool { return c.Started == 2*n+1 })
		cancel()
		<-ended
		if awaitCancellation {
			eventually("cancelled", func(c Counts) bool { return c.Cancelled == n+1 })
		}
		if code, outcome, _ := send(context.Background(), tg, "/search", "v1", longDeadline()); code != 200 {
			t.Fatalf("%d %s after a cancellation: %+v", code, outcome, tg.Counts())
		}
	}
	if c := tg.Counts(); c.Cancelled != 20 || c.ColdViolations+c.UnwarnedViolations != 0 {
		t.Fatalf("%+v", c)
	}
}

// Guards against wrong codes of refusals, a deadline that is ignored if it passes
// before or during the service time, a duplicate run that is not counted, a killed
// target that still answers, and a restart without a new incarnation.
func TestRefusalsAndRuns(t *testing.T) {
	tg := startTarget(t, Behaviour{Slots: 2, BearsCold: 1, Connections: 9, ServiceMS: 30})
	ctx := context.Background()
	if code, outcome, _ := send(ctx, tg, "/search", "v0", longDeadline()); code != 410 || outcome != "snapshot-gone" {
		t.Fatal(code, outcome)
	}
	if code, outcome, _ := send(ctx, tg, "/execute", "", time.Now().Add(-time.Second)); code != 408 || outcome != "expired" {
		t.Fatal(code, outcome)
	}
	if code, outcome, _ := send(ctx, tg, "/search", "v1", time.Now().Add(10*time.Millisecond)); code != 408 || outcome != "expired" {
		t.Fatal(code, outcome)
	}
	send(ctx, tg, "/execute", "", longDeadline())
	send(ctx, tg, "/execute", "", longDeadline())
	if c := tg.Counts(); c.Duplicates != 1 || tg.Runs()["k"] != 2 {
		t.Fatalf("%+v", c)
	}
	mode, before := DrainRefuse, tg.Incarnation()
	tg.apply(Change{Drain: &mode}, time.Now())
	if code, outcome, _ := send(ctx, tg, "/search", "v1", longDeadline()); code != 503 || outcome != "draining" || tg.Counts().AfterDrain != 1 {
		t.Fatal(code, outcome, tg.Counts())
	}
	tg.Kill()
	if code, _, _ := send(ctx, tg, "/search", "v1", longDeadline()); code != 0 {
		t.Fatalf("a killed target answered %d", code)
	}
	if err := tg.Start(); err != nil || tg.Incarnation() == before {
		t.Fatal(err, tg.Incarnation())
	}
}

// Guards against answer faults that have no effect: the target is told to send a
// faulty answer but sends a correct one, and the tests that rely on it prove nothing.
func TestFaultyAnswers(t *testing.T) {
	tg := startTarget(t, Behaviour{Slots: 2, BearsCold: 1, Connections: 9, ServiceMS: 1})
	ctx := context.Background()
	tg.apply(Change{Crossed: 1}, time.Now())
	if _, _, body := send(ctx, tg, "/search", "v1", longDeadline()); body["request_id"] != "other-request" {
		t.Fatal("crossed answer names the right request", body)
	}
	if _, _, body := send(ctx, tg, "/search", "v1", longDeadline()); body["count"] != 2.0 || len(body["items"].([]any)) != 2 {
		t.Fatal(body)
	}
	tg.apply(Change{Truncated: 1}, time.Now())
	if code, text, _ := send(ctx, tg, "/search", "v1", longDeadline()); code != 0 {
		t.Fatal("truncated answer was complete", code, text)
	}
	tg.apply(Change{Duplicated: 1}, time.Now())
	if code, text, body := send(ctx, tg, "/search", "v1", longDeadline()); code != 200 || body["request_id"] != "r" {
		t.Fatal("duplicated answer", code, text, body)
	}
	tg.apply(Change{Late: 1, LateMS: 50}, time.Now())
	begin := time.Now()
	if send(ctx, tg, "/search", "v1", longDeadline()); time.Since(begin) < 50*time.Millisecond {
		t.Fatal("late answer was in time")
	}
	if n := tg.Counts().FaultyAnswers; n != 4 {
		t.Fatalf("%d faulty answers counted", n)
	}
}
