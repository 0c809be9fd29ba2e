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
)

const (
	callers       = 6
	callerPause   = 50 * time.Millisecond // mean time between the requests of a caller
	patience      = 900 * time.Millisecond
	topK          = 2 // of platformtest.Config
	recordSize    = 16
	attemptsAfter = 40 // that have to be served once all faults are over
)

// ledger accounts for each request of the callers.
type ledger struct {
	t  *testing.T
	mu sync.Mutex
	// sent and ended count requests; outcomes counts their ends.
	sent, ended int
	outcomes    map[string]int
	notRun      []string // attempts that were answered 408, 429 or 503, which mean not run
	orders      []string // attempts that may run once
}

// ask sends one request and checks its answer.
func (l *ledger) ask(ctx context.Context, client *http.Client, i *instance, attempt string, order bool) (served bool) {
	method, path := http.MethodGet, "/all/q"
	if order {
		method, path = http.MethodPost, "/one/q"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.Callers+path, nil)
	if err != nil {
		l.t.Error(err)
		return false
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, attempt)
	req.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	l.begin(attempt, order)
	outcome := "no answer"
	if resp, err := client.Do(req); err == nil {
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			outcome = strconv.Itoa(resp.StatusCode)
			served = resp.StatusCode == http.StatusOK
			l.check(resp, string(data), attempt, order)
		}
	}
	l.end(outcome, attempt)
	return served
}

func (l *ledger) begin(attempt string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if order {
		l.orders = append(l.orders, attempt)
	}
}

func (l *ledger) end(outcome, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended++
	l.outcomes[outcome]++
	if outcome == "503" || outcome == "429" || outcome == "408" {
		l.notRun = append(l.notRun, attempt)
	}
}

// check checks an answer that arrived whole.
func (l *ledger) check(resp *http.Response, data, attempt string, order bool) {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusRequestTimeout:
		// Not run, as audit checks. A request of which a part is in when a stop
		// ends the reading is answered 408.
	case resp.StatusCode >= 300 && resp.StatusCode < 500:
		l.t.Errorf("%s: status %d for a proper request", attempt, resp.StatusCode)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		l.t.Errorf("%s: a refusal without Retry-After", attempt)
	case resp.StatusCode != http.StatusOK:
	case order:
		replica, ok := strings.CutSuffix(resp.Header.Get(platformtest.HeaderStamp), "."+attempt)
		if !ok || data != "done by "+replica {
			l.t.Errorf("%s: answer %q with signature %q", attempt, data, resp.Header.Get(platformtest.HeaderStamp))
		}
	default:
		if err := checkMerged(resp.Header, data, attempt); err != nil {
			l.t.Errorf("%s: %v", attempt, err)
		}
	}
}

// checkMerged checks that an answer is that of the parts that it names.
func checkMerged(h http.Header, data, attempt string) error {
	var want []string
	seen := map[string]bool{}
	for _, part := range strings.Split(h.Get(platformtest.HeaderParts), ", ") {
		replica, ok := strings.CutSuffix(part, "."+attempt)
		shard, _, _ := strings.Cut(replica, "-")
		if !ok || seen[shard] {
			return fmt.Errorf("part %q", part)
		}
		seen[shard] = true
		for b := body(shard); b != ""; b = b[recordSize:] {
			want = append(want, b[:recordSize])
		}
	}
	if missing, err := strconv.Atoi(h.Get(platformtest.HeaderMissing)); err != nil || missing+len(seen) != shards || len(seen) < shards/2 {
		return fmt.Errorf("%d parts, %q missing", len(seen), h.Get(platformtest.HeaderMissing))
	}
	slices.Sort(want)
	slices.Reverse(want)
	if joined := strings.Join(want[:topK], ""); data != joined {
		return fmt.Errorf("records %q, want %q", data, joined)
	}
	return nil
}

// audit checks what the replicas saw against what the callers were told.
func (l *ledger) audit(d *deployment) {
	runs := func(attempt string) (n int) {
		for _, r := range d.replicas {
			n += r.Runs(attempt)
		}
		return n
	}
	if l.sent != l.ended {
		l.t.Errorf("%d requests sent, %d ended", l.sent, l.ended)
	}
	for _, a := range l.orders {
		if n := runs(a); n > 1 {
			l.t.Errorf("%s ran %d times", a, n)
		}
	}
	for _, a := range l.notRun {
		if n := runs(a); n > 0 && slices.Contains(l.orders, a) {
			l.t.Errorf("%s was refused as not run, and ran", a)
		}
	}
}

// call sends requests over kept connections until ctx ends. A caller stays with
// its instance until a connection breaks.
func (l *ledger) call(ctx context.Context, d *deployment, rng *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: patience + 500*time.Millisecond}
	defer client.CloseIdleConnections()
	at := rng.IntN(len(d.instances))
	for n := 0; ctx.Err() == nil; n++ {
		// The request is not cut off at the end, so that its fate is known.
		if !l.ask(context.WithoutCancel(ctx), client, d.instances[at], fmt.Sprintf("%s-%d", name, n), rng.IntN(3) == 0) {
			at = rng.IntN(len(d.instances))
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callerPause))))
	}
}
