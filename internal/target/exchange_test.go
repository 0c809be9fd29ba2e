package target

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Guards against an answer of another request being taken for the caller's,
// and against reuse of the connection that it came on. Each case spoils the
// third reply of a reused connection.
func TestSpoiledReplyOnReusedConnection(t *testing.T) {
	other := func(old, new string) func(*http.Request, string) string {
		return func(_ *http.Request, whole string) string { return strings.Replace(whole, old, new, 1) }
	}
	cases := map[string]struct {
		reason outcome.Reason
		spoil  func(r *http.Request, whole string) string
	}{
		"crossed header": {outcome.ReasonMismatch, func(r *http.Request, _ string) string { return raw(r, 200, "1", "", answerBody(r, "2")) }},
		"crossed body":   {outcome.ReasonMismatch, func(r *http.Request, _ string) string { return raw(r, 200, "2", "", answerBody(r, "1")) }},
		"crossed refusal": {outcome.ReasonMismatch, func(r *http.Request, _ string) string {
			return raw(r, 503, "1", "X-Outcome: shed\r\n", "")
		}},
		"unlabelled refusal": {outcome.ReasonMismatch, func(*http.Request, string) string {
			return "HTTP/1.1 503 x\r\nX-Outcome: shed\r\nContent-Length: 0\r\n\r\n"
		}},
		"other shard":    {outcome.ReasonMismatch, other(`"shard":"h1"`, `"shard":"h2"`)},
		"other snapshot": {outcome.ReasonMismatch, other(`"snapshot":"s1"`, `"snapshot":"s0"`)},
		"short count":    {outcome.ReasonTruncated, other(`"items":[1]`, `"items":[ ]`)},
		"not complete":   {outcome.ReasonTruncated, other(`"complete":true`, `"complete":null`)},
		"content type":   {outcome.ReasonMalformed, other("application/json", "text/html")},
		"truncated":      {outcome.ReasonTruncated, func(_ *http.Request, whole string) string { return whole[:len(whole)-4] }},
		"too large": {outcome.ReasonMalformed, func(r *http.Request, _ string) string {
			return raw(r, 200, "2", "", answerBody(r, "2")+strings.Repeat(" ", 5000))
		}},
		"late": {outcome.ReasonTimeout, func(_ *http.Request, whole string) string {
			time.Sleep(2 * time.Second)
			return whole
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1)
				b.pool.opts.MaxReplyBytes = 4096
				b.fake.handle = func(c net.Conn, r *http.Request) bool {
					attempt := r.Header.Get("X-Attempt-Id")
					if attempt != "2" {
						return b.fake.good(c, r, 5*time.Millisecond)
					}
					b.fake.done(r, true)
					_, _ = io.WriteString(c, tc.spoil(r, raw(r, 200, attempt, "", answerBody(r, attempt))))
					return name != "truncated"
				}
				for i, want := range []outcome.Code{outcome.Answered, outcome.Answered, outcome.Unknown, outcome.Answered} {
					r := b.do(b.work(fmt.Sprint(i), time.Second))
					if r.Code != want || (i == 2 && r.Reason != tc.reason) {
						t.Errorf("request %d: %s %s", i, r.Code, r.Reason)
					}
				}
				if len(b.fake.conns) != 2 {
					t.Errorf("%d connections, want one before and one after the spoiled reply", len(b.fake.conns))
				}
			})
		})
	}
}

// Guards against a duplicated reply, left over on a connection, answering the
// next request.
func TestDuplicatedReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.fake.handle = func(c net.Conn, r *http.Request) bool {
			b.fake.done(r, true)
			attempt := r.Header.Get("X-Attempt-Id")
			whole := raw(r, 200, attempt, "", answerBody(r, attempt))
			_, _ = io.WriteString(c, whole+whole)
			return true
		}
		for i := range 20 {
			attempt := fmt.Sprint(i)
			r := b.do(b.work(attempt, time.Second))
			if r.Code == outcome.Answered && !strings.Contains(string(r.Body), `"attempt_id":"`+attempt+`"`) {
				t.Fatalf("request %d got %s", i, r.Body)
			}
			if r.Code == outcome.NotRun && b.fake.ran[attempt] > 0 {
				t.Fatalf("request %d ran and is called not run", i)
			}
		}
	})
}

// Guards against a refusal that says "not run" of a request that ran, and
// against a request that runs twice, over random failures.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			b := newBench(t, 3).warm()
			var mu sync.Mutex
			b.fake.handle = func(c net.Conn, r *http.Request) bool {
				mu.Lock()
				n := rng.Intn(14)
				mu.Unlock()
				attempt := r.Header.Get("X-Attempt-Id")
				whole := raw(r, 200, attempt, "", answerBody(r, attempt))
				if n >= 3 && n <= 6 {
					b.fake.done(r, true)
				}
				switch n {
				case 0:
					return b.fake.refuse(c, r, 503, "shed")
				case 1:
					return b.fake.refuse(c, r, 408, "expired")
				case 2:
					return b.fake.refuse(c, r, 410, "snapshot-gone")
				case 3: // ran, and the connection breaks
					return false
				case 4: // ran, and the reply is cut
					_, _ = io.WriteString(c, whole[:len(whole)/2])
					return false
				case 5: // ran, and a refusal of another request comes back
					_, err := io.WriteString(c, raw(r, 503, "other", "X-Outcome: shed\r\n", ""))
					return err == nil
				case 6: // ran, and a status without an outcome comes back
					_, err := io.WriteString(c, raw(r, 503, attempt, "", ""))
					return err == nil
				case 7: // ran too late
					return b.fake.good(c, r, 300*time.Millisecond)
				case 8: // ran, and the server closes the idle connection
					b.fake.good(c, r, time.Millisecond)
					return false
				}
				return b.fake.good(c, r, 5*time.Millisecond)
			}
			results := map[string]outcome.Result{}
			var wg sync.WaitGroup
			for i := range 40 {
				wg.Go(func() {
					w := b.work(fmt.Sprint(i), 200*time.Millisecond)
					w.Idempotent = i%2 == 0
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					mu.Lock()
					w.Priority = rng.Intn(3)
					wait, cut := time.Duration(rng.Intn(400))*time.Millisecond, rng.Intn(4) == 0
					mu.Unlock()
					time.Sleep(wait)
					w.Deadline = time.Now().Add(200 * time.Millisecond)
					if cut {
						time.AfterFunc(3*time.Millisecond, cancel)
					}
					r := b.pool.Do(ctx, b.tgt, b.svc, w, admitAll)
					mu.Lock()
					results[w.AttemptID] = r
					mu.Unlock()
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			b.fake.mu.Lock()
			defer b.fake.mu.Unlock()
			for attempt, r := range results {
				ran := b.fake.ran[attempt]
				if ran > 1 || (r.Code == outcome.NotRun && ran > 0) || (r.Code == outcome.Answered && ran != 1) {
					t.Errorf("seed %d: attempt %s ran %d times, outcome %s %s", seed, attempt, ran, r.Code, r.Reason)
				}
			}
			if l, _ := b.pool.Load("t"); l.InFlight != 0 || l.Queued != 0 {
				t.Errorf("left behind: %+v", l)
			}
		})
	})
}

// Guards against the transport sending a request twice when the server closes
// a kept-alive connection after it read the request.
func TestAtMostOnceOverBrokenConnection(t *testing.T) {
	var got atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("X-Attempt-Id")
		if attempt == "order" {
			got.Add(1)
			c, _, _ := w.(http.Hijacker).Hijack()
			c.Close()
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, answerBody(r, attempt))
	}))
	defer srv.Close()
	pool := NewPool(nil, nil, Options{LocalIP: net.IPv4(127, 0, 0, 1)})
	defer pool.Close()
	b := &bench{pool: pool}
	b.svc.Slots, b.tgt.Name, b.tgt.Address = 1, "t", srv.Listener.Addr().String()
	for round := range 5 {
		if r := b.do(b.work(fmt.Sprint(round), 5*time.Second)); r.Code != outcome.Answered {
			t.Fatalf("round %d: %+v", round, r)
		}
		got.Store(0)
		w := b.work("order", 5*time.Second)
		w.Operation, w.Idempotent = OperationExecute, false
		if r := b.do(w); r.Code != outcome.Unknown || got.Load() != 1 {
			t.Fatalf("round %d: %s %s, received %d times", round, r.Code, r.Reason, got.Load())
		}
	}
}

// Guards against an idle connection that the server closed turning into a
// refusal although nothing was sent.
func TestStaleIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.do(b.work("0", time.Second))
		b.fake.conns[0].Close() // the transport may or may not have noticed
		if r := b.do(b.work("1", time.Second)); r.Code != outcome.Answered {
			t.Errorf("%+v", r)
		}
	})
}
