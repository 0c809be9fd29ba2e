package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/platform/platformtest"
	"github.com/baobabsill/baobabsill/standin/harness"
)

const (
	callerCount      = 6
	meanCallerPause  = 50 * time.Millisecond // mean time between the requests of a caller
	callerTimeout    = 900 * time.Millisecond
	topK             = 2  // of platformtest.Config
	recordSize       = 16 // bytes
	recoveryAttempts = 40 // requests that all have to be served after the faults
)

// ledger records the requests of the callers and their outcomes, and compares them
// with what the replicas ran.
type ledger struct {
	t  *testing.T
	mu sync.Mutex
	// sent and ended count requests.
	sent, ended  int
	outcomes     map[string]int              // by status, or "no answer"
	notRun       []string                    // attempts that were answered 408, 429 or 503, which mean not run
	onceAttempts []string                    // attempts that may run at most once
	sentTo       map[string]*harness.Process // by attempt
}

// sendRequest sends a request to one replica if it may run only once, and otherwise
// one to all shards, and checks the answer.
func (l *ledger) sendRequest(ctx context.Context, client *http.Client, i *instance, attempt string, once bool) (served bool) {
	method, path := http.MethodGet, "/all/q"
	if once {
		method, path = http.MethodPost, "/one/q"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.CallerAddress+path, nil)
	if err != nil {
		l.t.Error(err)
		return false
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, attempt)
	req.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	l.recordSent(attempt, once, i.currentProcess())
	outcome := "no answer"
	if resp, err := client.Do(req); err == nil {
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			outcome = strconv.Itoa(resp.StatusCode)
			served = resp.StatusCode == http.StatusOK
			l.checkAnswer(resp, string(data), attempt, once)
		}
	}
	l.recordOutcome(outcome, attempt)
	return served
}

func (l *ledger) recordSent(attempt string, once bool, to *harness.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.sentTo[attempt] = to
	if once {
		l.onceAttempts = append(l.onceAttempts, attempt)
	}
}

func (l *ledger) recordOutcome(outcome, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended++
	l.outcomes[outcome]++
	if outcome == "503" || outcome == "429" || outcome == "408" {
		l.notRun = append(l.notRun, attempt)
	}
}

// checkAnswer checks an answer that was received completely.
func (l *ledger) checkAnswer(resp *http.Response, data, attempt string, once bool) {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusRequestTimeout:
		// The request did not run, see checkRuns. An instance that stops while it
		// reads a request answers 408.
	case resp.StatusCode >= 300 && resp.StatusCode < 500:
		l.t.Errorf("%s: status %d for a valid request", attempt, resp.StatusCode)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		l.t.Errorf("%s: a refusal without Retry-After", attempt)
	case resp.StatusCode != http.StatusOK:
	case once:
		replica, ok := strings.CutSuffix(resp.Header.Get(platformtest.HeaderStamp), "."+attempt)
		if !ok || data != "done by "+replica {
			l.t.Errorf("%s: body %q with stamp %q", attempt, data, resp.Header.Get(platformtest.HeaderStamp))
		}
	default:
		if err := checkMerged(resp.Header, data, attempt); err != nil {
			l.t.Errorf("%s: %v", attempt, err)
		}
	}
}

// checkMerged checks that an answer has the top records of the parts that it names,
// that each part belongs to this attempt, and that the missing parts are counted and
// at most half of all.
func checkMerged(h http.Header, data, attempt string) error {
	var want []string
	seen := map[string]bool{}
	for _, part := range strings.Split(h.Get(platformtest.HeaderParts), ", ") {
		replica, ok := strings.CutSuffix(part, "."+attempt)
		shard, _, _ := strings.Cut(replica, "-")
		if !ok || seen[shard] {
			return fmt.Errorf("part %q is of another attempt or repeated", part)
		}
		seen[shard] = true
		for b := shardBody(shard); b != ""; b = b[recordSize:] {
			want = append(want, b[:recordSize])
		}
	}
	if missing, err := strconv.Atoi(h.Get(platformtest.HeaderMissing)); err != nil || missing+len(seen) != shardCount || len(seen) < shardCount/2 {
		return fmt.Errorf("%d parts, %q missing", len(seen), h.Get(platformtest.HeaderMissing))
	}
	slices.Sort(want)
	slices.Reverse(want)
	if joined := strings.Join(want[:topK], ""); data != joined {
		return fmt.Errorf("records %q, want %q", data, joined)
	}
	return nil
}

// checkRuns compares what the replicas ran with what the callers were told.
func (l *ledger) checkRuns(d *deployment) {
	runs := func(attempt string) (n int) {
		for _, r := range d.replicas {
			n += r.Runs(attempt)
		}
		return n
	}
	if l.sent != l.ended {
		l.t.Errorf("%d requests sent, %d ended", l.sent, l.ended)
	}
	for _, a := range l.onceAttempts {
		if n := runs(a); n > 1 {
			l.t.Errorf("%s ran %d times", a, n)
		}
	}
	for _, a := range l.notRun {
		if n := runs(a); n > 0 && slices.Contains(l.onceAttempts, a) {
			l.t.Errorf("%s was refused as not run, and ran", a)
		}
	}
}

// runCaller sends requests over kept connections until ctx ends. The caller changes
// to a random instance when a request is not served.
func (l *ledger) runCaller(ctx context.Context, d *deployment, rng *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout + 500*time.Millisecond}
	defer client.CloseIdleConnections()
	at := rng.IntN(len(d.instances))
	for n := 0; ctx.Err() == nil; n++ {
		// The end of ctx doesn't cancel the request, so that its outcome is known.
		if !l.sendRequest(context.WithoutCancel(ctx), client, d.instances[at], fmt.Sprintf("%s-%d", name, n), rng.IntN(3) == 0) {
			at = rng.IntN(len(d.instances))
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanCallerPause))))
	}
}
