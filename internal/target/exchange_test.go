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
	"github.com/baobabsill/baobabsill/internal/exchange"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against accepting a corrupt answer or one to another request, and against
// reusing the connection that it came on. Each case corrupts the third reply on a
// reused connection.
func TestCorruptReplyOnReusedConnection(t *testing.T) {
	replaced := func(old, new string) func(*http.Request, string) string {
		return func(_ *http.Request, whole string) string { return strings.Replace(whole, old, new, 1) }
	}
	cases := map[string]struct {
		reason  outcome.Reason
		corrupt func(r *http.Request, whole string) string
	}{
		"crossed header": {outcome.ReasonMismatch, func(r *http.Request, _ string) string { return rawReply(r, 200, "1", "", answerBody(r, "2")) }},
		"crossed body":   {outcome.ReasonMismatch, func(r *http.Request, _ string) string { return rawReply(r, 200, "2", "", answerBody(r, "1")) }},
		"crossed refusal": {outcome.ReasonMismatch, func(r *http.Request, _ string) string {
			return rawReply(r, 503, "1", "X-Outcome: shed\r\n", "")
		}},
		"unlabelled refusal": {outcome.ReasonMismatch, func(*http.Request, string) string {
			return "HTTP/1.1 503 x\r\nX-Outcome: shed\r\nContent-Length: 0\r\n\r\n"
		}},
		"other shard":    {outcome.ReasonMismatch, replaced(`"shard":"h1"`, `"shard":"h2"`)},
		"other snapshot": {outcome.ReasonMismatch, replaced(`"snapshot":"s1"`, `"snapshot":"s0"`)},
		"short count":    {outcome.ReasonTruncated, replaced(`"items":[1]`, `"items":[ ]`)},
		"not complete":   {outcome.ReasonTruncated, replaced(`"complete":true`, `"complete":null`)},
		"content type":   {outcome.ReasonMalformed, replaced("application/json", "text/html")},
		"truncated":      {outcome.ReasonTruncated, func(_ *http.Request, whole string) string { return whole[:len(whole)-4] }},
		"too large": {outcome.ReasonMalformed, func(r *http.Request, _ string) string {
			return rawReply(r, 200, "2", "", answerBody(r, "2")+strings.Repeat(" ", 5000))
		}},
		"endless head": {outcome.ReasonTruncated, func(r *http.Request, _ string) string {
			return rawReply(r, 200, "2", "X-A: "+strings.Repeat("a", 2*exchange.MaxHeadBytes)+"\r\n", answerBody(r, "2"))
		}},
		"status 000":          {outcome.ReasonMalformed, replaced(" 200 ", " 000 ")},
		"blank in a name":     {outcome.ReasonMalformed, replaced("\r\n\r\n", "\r\nX Odd: 1\r\n\r\n")},
		"blank before a name": {outcome.ReasonMalformed, replaced("Content-Length", "X-A: b\r\n X-Odd: 1\r\nContent-Length")},
		"blank and shed": {outcome.ReasonMalformed, func(r *http.Request, _ string) string {
			return rawReply(r, 503, "2", "X-Outcome: shed\r\nX Odd: 1\r\n", "")
		}},
		"control byte": {outcome.ReasonTruncated, replaced("\r\n\r\n", "\r\nX\x01Odd: 1\r\n\r\n")},
		"status 600":   {outcome.ReasonMalformed, replaced(" 200 ", " 600 ")},
		"late": {outcome.ReasonTimeout, func(_ *http.Request, whole string) string {
			time.Sleep(2 * time.Second)
			return whole
		}},
	}
	for name, tc := range cases {
		runInBubble(t, name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.pool.opts.bodies = exchange.NewBodyReader(4096, 0)
			h.fake.handle = func(c net.Conn, r *http.Request) bool {
				attempt := r.Header.Get("X-Attempt-Id")
				if attempt != "2" {
					return h.fake.answer(c, r, 5*time.Millisecond)
				}
				h.fake.recordEnd(r, true)
				_, _ = io.WriteString(c, tc.corrupt(r, rawReply(r, 200, attempt, "", answerBody(r, attempt))))
				return name != "truncated"
			}
			for i, want := range []outcome.Code{outcome.Answered, outcome.Answered, outcome.Unknown, outcome.Answered} {
				r := h.send(h.newRequest(fmt.Sprint(i), time.Second))
				if r.Code != want || (i == 2 && r.Reason != tc.reason) {
					t.Errorf("request %d: %s %s", i, r.Code, r.Reason)
				}
			}
			if len(h.fake.conns) != 2 {
				t.Errorf("%d connections, want one up to the corrupt reply and one after it", len(h.fake.conns))
			}
			h.fake.conns[len(h.fake.conns)-1].Close() // a broken idle connection fails no request
			if r := h.send(h.newRequest("4", time.Second)); r.Code != outcome.Answered {
				t.Errorf("after a broken idle connection: %+v", r)
			}
		})
	}
}

// Guards against the outcome NotRun for a request that ran, against a request that
// runs twice and against one that gets the answer of another. Connections and
// replies fail at random.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			h := newHarness(t, 3).handOverWarm()
			var mu sync.Mutex
			h.fake.handle = func(c net.Conn, r *http.Request) bool {
				mu.Lock()
				n := rng.Intn(14)
				mu.Unlock()
				attempt := r.Header.Get("X-Attempt-Id")
				whole := rawReply(r, 200, attempt, "", answerBody(r, attempt))
				ran := func(reply string, open bool) bool {
					h.fake.recordEnd(r, true)
					_, err := io.WriteString(c, reply)
					return open && err == nil
				}
				switch n {
				case 0, 1, 2:
					return h.fake.refuse(c, r, []int{503, 408, 410}[n], []string{"shed", "expired", "snapshot-gone"}[n])
				case 3: // the connection breaks after the request ran
					return ran("", false)
				case 4: // the reply is truncated
					return ran(whole[:len(whole)/2], false)
				case 5: // the reply is the refusal of another request
					return ran(rawReply(r, 503, "other", "X-Outcome: shed\r\n", ""), true)
				case 6: // the reply has status 503 without an outcome
					return ran(rawReply(r, 503, attempt, "", ""), true)
				case 9: // a duplicate reply remains on the connection
					return ran(whole+whole, true)
				case 7: // the reply comes after the deadline
					return h.fake.answer(c, r, 300*time.Millisecond)
				case 8: // the server closes the connection after the reply
					return h.fake.answer(c, r, time.Millisecond) && false
				}
				return h.fake.answer(c, r, 5*time.Millisecond)
			}
			results := map[string]outcome.Result{}
			var wg sync.WaitGroup
			for i := range 40 {
				mu.Lock()
				wait := time.Duration(rng.Intn(20)) * time.Millisecond
				mu.Unlock()
				time.Sleep(wait)
				wg.Go(func() {
					w := h.newRequest(fmt.Sprint(i), 200*time.Millisecond)
					w.Idempotent = i%2 == 0
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if w.Priority = i % 3; i%4 == 0 {
						time.AfterFunc(3*time.Millisecond, cancel)
					}
					r := h.pool.Do(ctx, h.target, h.service, w, admitAll)
					mu.Lock()
					defer mu.Unlock()
					results[w.AttemptID] = r
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			h.fake.mu.Lock()
			defer h.fake.mu.Unlock()
			for attempt, r := range results {
				ran := h.fake.runs[attempt]
				if ran > 1 || (r.Code == outcome.NotRun && ran > 0) || (r.Code == outcome.Answered && ran != 1) ||
					(r.Code == outcome.Answered && !strings.Contains(string(r.Body), `"attempt_id":"`+attempt+`"`)) {
					t.Errorf("seed %d: attempt %s ran %d times, outcome %s %s", seed, attempt, ran, r.Code, r.Reason)
				}
			}
			if l, _ := h.pool.LoadOf("t"); l.InFlight != 0 || l.Queued != 0 {
				t.Errorf("requests left in the pool: %+v", l)
			}
		})
	})
}

// Guards against an at-most-once request that the HTTP transport sends again
// because the server closed the kept-alive connection after reading it.
func TestAtMostOnceOverBrokenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := &fakeTarget{runs: map[string]int{}}
	f.handle = func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/execute" {
			return f.answer(c, r, 0)
		}
		f.recordEnd(r, true)
		return false
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go f.serve(c)
		}
	}()
	h := &harness{pool: NewPool(nil, nil, Options{LocalIP: net.IPv4(127, 0, 0, 1)}), service: declare.Service{Slots: 1}}
	defer h.pool.Close()
	h.target = state.Target{Name: "t", Address: l.Addr().String()}
	for i := range 5 {
		h.sendOneByOne(1)
		w := h.newRequest(fmt.Sprint("order", i), 5*time.Second)
		w.Operation, w.Idempotent = OperationExecute, false
		r := h.send(w)
		f.mu.Lock()
		if r.Code != outcome.Unknown || f.runs[w.AttemptID] != 1 {
			t.Errorf("%s %s, received %d times", r.Code, r.Reason, f.runs[w.AttemptID])
		}
		f.mu.Unlock()
	}
}
