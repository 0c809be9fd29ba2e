package target

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/exchange/exchangetest"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

func TestMain(m *testing.M) {
	// A fixed seed makes runs comparable; another one can be given as a flag.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	log.SetOutput(io.Discard) // net/http logs each duplicated reply
	goleak.VerifyTestMain(m)
}

// runInBubble runs a subtest in a bubble with its own clock.
func runInBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// fakeTarget is a target that speaks its protocol over net.Pipe, so that it works
// in a synctest bubble, and records what it ran. handle answers one request and
// returns false to close the connection.
type fakeTarget struct {
	handle func(c net.Conn, r *http.Request) bool

	mu                sync.Mutex
	refuseConnections bool
	incarnation       string
	runs              map[string]int // how often each attempt ran
	arrivals          []string       // attempts in order of arrival
	running           int
	peakRunning       int // most requests that ran at the same time
	answers           int
	conns             []net.Conn
	firstExcess       string // first arrival beyond the limit that the answers so far allow
}

func (f *fakeTarget) dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuseConnections {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	f.conns = append(f.conns, server)
	go f.serve(server)
	return client, nil
}

func (f *fakeTarget) serve(c net.Conn) {
	exchangetest.Serve(c, func(r *http.Request) bool {
		f.mu.Lock()
		f.arrivals = append(f.arrivals, r.Header.Get("X-Attempt-Id"))
		f.running++
		f.peakRunning = max(f.peakRunning, f.running)
		if f.running > 1+f.answers/RampSuccesses && f.firstExcess == "" {
			f.firstExcess = fmt.Sprintf("%d running after %d answers", f.running, f.answers)
		}
		f.mu.Unlock()
		return f.handle(c, r)
	})
}

// recordEnd records the end of a request, before the answer is written, and
// whether it ran.
func (f *fakeTarget) recordEnd(r *http.Request, ran bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if ran {
		f.answers++
		f.runs[r.Header.Get("X-Attempt-Id")]++
	}
}

func answerBody(r *http.Request, attempt string) string {
	return fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"snapshot":%q,"shard":%q,"complete":true,"count":1,"items":[1],"ran":true}`,
		r.Header.Get("X-Request-Id"), attempt, r.Header.Get("X-Snapshot"), r.Header.Get("X-Shard"))
}

func rawReply(r *http.Request, status int, attempt, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("X-Request-Id"), attempt, len(body), extra, body)
}

// answer runs a request for serviceTime and answers it in full.
func (f *fakeTarget) answer(c net.Conn, r *http.Request, serviceTime time.Duration) bool {
	time.Sleep(serviceTime)
	f.recordEnd(r, true)
	f.mu.Lock()
	extra := "X-Incarnation: " + f.incarnation + "\r\n"
	f.mu.Unlock()
	attempt := r.Header.Get("X-Attempt-Id")
	_, err := io.WriteString(c, rawReply(r, 200, attempt, extra, answerBody(r, attempt)))
	return err == nil
}

// refuse answers that the request did not run.
func (f *fakeTarget) refuse(c net.Conn, r *http.Request, status int, result string) bool {
	f.recordEnd(r, false)
	_, err := io.WriteString(c, rawReply(r, status, r.Header.Get("X-Attempt-Id"), "X-Outcome: "+result+"\r\n", ""))
	return err == nil
}

// harness is a Pool with one fake target.
type harness struct {
	pool    *Pool
	fake    *fakeTarget
	service declare.Service
	target  state.Target
}

// newHarness returns a harness whose target answers in 5 ms.
func newHarness(t *testing.T, slots int) *harness {
	f := &fakeTarget{incarnation: "i1", runs: map[string]int{}}
	h := &harness{
		pool: NewPool(nil, nil, Options{Dial: f.dial}), fake: f,
		service: declare.Service{Name: "s", Slots: slots, BearsCold: 1, Connections: 25},
		target:  state.Target{Name: "t", Service: "s", Zone: "z", Address: "10.0.0.1:1", Incarnation: "i1"},
	}
	h.setServiceTime(5 * time.Millisecond)
	t.Cleanup(h.close)
	return h
}

// close waits until no request runs any more and closes all connections.
func (h *harness) close() {
	time.Sleep(3 * time.Second)
	h.pool.Close()
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	for _, c := range h.fake.conns {
		c.Close()
	}
}

func (h *harness) newRequest(attempt string, timeout time.Duration) Request {
	return Request{RequestID: "r-" + attempt, AttemptID: attempt, Operation: OperationSearch, Snapshot: "s1", Shard: "h1",
		Priority: 1, Deadline: time.Now().Add(timeout), Body: []byte(`{}`), Idempotent: true}
}

// setServiceTime lets the target answer all requests in full after d.
func (h *harness) setServiceTime(d time.Duration) {
	h.fake.handle = func(c net.Conn, r *http.Request) bool { return h.fake.answer(c, r, d) }
}

func (h *harness) sendOneByOne(n int) {
	for i := range n {
		h.send(h.newRequest(fmt.Sprint("e", i), time.Second))
	}
}

func admitAll() (time.Time, int, outcome.Reason) { return time.Time{}, 0, outcome.ReasonNone }

func (h *harness) send(request Request) outcome.Result {
	return h.pool.Do(context.Background(), h.target, h.service, request, admitAll)
}

// handOverWarm makes the pool take the target over as warm.
func (h *harness) handOverWarm() *harness {
	h.pool.AdoptLoad(state.Load{Target: "t", Phase: state.PhaseWarm, Limit: h.service.Slots, Incarnation: "i1"})
	return h
}

// runCallersUntilWarm runs n callers. Each sends requests, at most perCaller, until
// the target is warm.
func (h *harness) runCallersUntilWarm(n, perCaller int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for j := 0; j < perCaller && h.phase() != state.PhaseWarm; j++ {
				if h.send(h.newRequest(fmt.Sprintf("%d-%d", i, j), time.Second)).Code == outcome.NotRun {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
}

func (h *harness) phase() state.Phase { l, _ := h.pool.LoadOf("t"); return l.Phase }
func (h *harness) limit() int         { l, _ := h.pool.LoadOf("t"); return l.Limit }
