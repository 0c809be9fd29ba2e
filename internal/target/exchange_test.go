package target

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
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
		bubble(t, name, func(t *testing.T) {
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
			b.fake.conns[len(b.fake.conns)-1].Close() // an idle connection that broke costs no request
			if r := b.do(b.work("4", time.Second)); r.Code != outcome.Answered {
				t.Errorf("after a broken idle connection: %+v", r)
			}
		})
	}
}

// Guards against a refusal that says "not run" of a request that ran, and
// against a request that runs twice or gets another's answer, over random
// failures.
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
				ran := func(reply string, open bool) bool {
					b.fake.done(r, true)
					_, err := io.WriteString(c, reply)
					return open && err == nil
				}
				switch n {
				case 0, 1, 2:
					return b.fake.refuse(c, r, []int{503, 408, 410}[n], []string{"shed", "expired", "snapshot-gone"}[n])
				case 3: // the connection breaks
					return ran("", false)
				case 4: // the reply is cut
					return ran(whole[:len(whole)/2], false)
				case 5: // a refusal of another request comes back
					return ran(raw(r, 503, "other", "X-Outcome: shed\r\n", ""), true)
				case 6: // a status without an outcome comes back
					return ran(raw(r, 503, attempt, "", ""), true)
				case 9: // a duplicate is left over on the connection
					return ran(whole+whole, true)
				case 7: // too late
					return b.fake.good(c, r, 300*time.Millisecond)
				case 8: // the server closes the idle connection
					return b.fake.good(c, r, time.Millisecond) && false
				}
				return b.fake.good(c, r, 5*time.Millisecond)
			}
			results := map[string]outcome.Result{}
			var wg sync.WaitGroup
			for i := range 40 {
				mu.Lock()
				wait := time.Duration(rng.Intn(20)) * time.Millisecond
				mu.Unlock()
				time.Sleep(wait)
				wg.Go(func() {
					w := b.work(fmt.Sprint(i), 200*time.Millisecond)
					w.Idempotent = i%2 == 0
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if w.Priority = i % 3; i%4 == 0 {
						time.AfterFunc(3*time.Millisecond, cancel)
					}
					r := b.pool.Do(ctx, b.tgt, b.svc, w, admitAll)
					mu.Lock()
					defer mu.Unlock()
					results[w.AttemptID] = r
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			b.fake.mu.Lock()
			defer b.fake.mu.Unlock()
			for attempt, r := range results {
				ran := b.fake.ran[attempt]
				if ran > 1 || (r.Code == outcome.NotRun && ran > 0) || (r.Code == outcome.Answered && ran != 1) ||
					(r.Code == outcome.Answered && !strings.Contains(string(r.Body), `"attempt_id":"`+attempt+`"`)) {
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := &fakeTarget{ran: map[string]int{}}
	f.handle = func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/execute" {
			return f.good(c, r, 0)
		}
		f.done(r, true)
		return false
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go f.serve(c)
		}
	}()
	b := &bench{pool: NewPool(nil, nil, Options{LocalIP: net.IPv4(127, 0, 0, 1)}), svc: declare.Service{Slots: 1}}
	defer b.pool.Close()
	b.tgt = state.Target{Name: "t", Address: l.Addr().String()}
	for i := range 5 {
		b.each(1)
		w := b.work(fmt.Sprint("order", i), 5*time.Second)
		w.Operation, w.Idempotent = OperationExecute, false
		r := b.do(w)
		f.mu.Lock()
		if r.Code != outcome.Unknown || f.ran[w.AttemptID] != 1 {
			t.Errorf("%s %s, received %d times", r.Code, r.Reason, f.ran[w.AttemptID])
		}
		f.mu.Unlock()
	}
}
