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

// bubble runs a subtest in a bubble with its own clock.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// fakeTarget speaks the target protocol over net.Pipe, so that it works in a
// synctest bubble, and records what it ran. handle answers one request; it
// returns false to close the connection.
type fakeTarget struct {
	handle func(c net.Conn, r *http.Request) bool

	mu          sync.Mutex
	down        bool
	incarnation string
	ran         map[string]int // by attempt
	order       []string       // attempts in order of arrival
	running     int
	peak        int // most requests running at once
	answers     int
	conns       []net.Conn
	excess      string // first arrival above the limit that its answers allow
}

func (f *fakeTarget) dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
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
		f.order = append(f.order, r.Header.Get("X-Attempt-Id"))
		f.running++
		f.peak = max(f.peak, f.running)
		if f.running > 1+f.answers/RampSuccesses && f.excess == "" {
			f.excess = fmt.Sprintf("%d running after %d answers", f.running, f.answers)
		}
		f.mu.Unlock()
		return f.handle(c, r)
	})
}

// done ends the run of a request; it is called before the answer is written.
func (f *fakeTarget) done(r *http.Request, ran bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if ran {
		f.answers++
		f.ran[r.Header.Get("X-Attempt-Id")]++
	}
}

func answerBody(r *http.Request, attempt string) string {
	return fmt.Sprintf(`{"request_id":%q,"attempt_id":%q,"snapshot":%q,"shard":%q,"complete":true,"count":1,"items":[1],"ran":true}`,
		r.Header.Get("X-Request-Id"), attempt, r.Header.Get("X-Snapshot"), r.Header.Get("X-Shard"))
}

func raw(r *http.Request, status int, attempt, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("X-Request-Id"), attempt, len(body), extra, body)
}

// good answers after a service time.
func (f *fakeTarget) good(c net.Conn, r *http.Request, took time.Duration) bool {
	time.Sleep(took)
	f.done(r, true)
	f.mu.Lock()
	extra := "X-Incarnation: " + f.incarnation + "\r\n"
	f.mu.Unlock()
	attempt := r.Header.Get("X-Attempt-Id")
	_, err := io.WriteString(c, raw(r, 200, attempt, extra, answerBody(r, attempt)))
	return err == nil
}

// refuse answers that the request did not run.
func (f *fakeTarget) refuse(c net.Conn, r *http.Request, status int, said string) bool {
	f.done(r, false)
	_, err := io.WriteString(c, raw(r, status, r.Header.Get("X-Attempt-Id"), "X-Outcome: "+said+"\r\n", ""))
	return err == nil
}

type bench struct {
	pool *Pool
	fake *fakeTarget
	svc  declare.Service
	tgt  state.Target
}

// newBench returns a pool with one target that answers in 5 ms.
func newBench(t *testing.T, slots int) *bench {
	f := &fakeTarget{incarnation: "i1", ran: map[string]int{}}
	b := &bench{
		pool: NewPool(nil, nil, Options{Dial: f.dial}), fake: f,
		svc: declare.Service{Name: "s", Slots: slots, BearsCold: 1, Connections: 25},
		tgt: state.Target{Name: "t", Service: "s", Zone: "z", Address: "10.0.0.1:1", Incarnation: "i1"},
	}
	b.takes(5 * time.Millisecond)
	t.Cleanup(b.close)
	return b
}

// close waits until no handler is busy and breaks all connections.
func (b *bench) close() {
	time.Sleep(3 * time.Second)
	b.pool.Close()
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	for _, c := range b.fake.conns {
		c.Close()
	}
}

func (b *bench) work(attempt string, timeout time.Duration) Work {
	return Work{RequestID: "r-" + attempt, AttemptID: attempt, Operation: OperationSearch, Snapshot: "s1", Shard: "h1",
		Priority: 1, Deadline: time.Now().Add(timeout), Body: []byte(`{}`), Idempotent: true}
}

// takes lets the target answer well after a service time.
func (b *bench) takes(d time.Duration) {
	b.fake.handle = func(c net.Conn, r *http.Request) bool { return b.fake.good(c, r, d) }
}

// each sends n requests, one after the other.
func (b *bench) each(n int) {
	for i := range n {
		b.do(b.work(fmt.Sprint("e", i), time.Second))
	}
}

func admitAll() (time.Time, int, outcome.Reason) { return time.Time{}, 0, outcome.ReasonNone }

func (b *bench) do(w Work) outcome.Result {
	return b.pool.Do(context.Background(), b.tgt, b.svc, w, admitAll)
}

// warm hands the target over as warm.
func (b *bench) warm() *bench {
	b.pool.Adopt(state.Load{Target: "t", Phase: state.PhaseWarm, Limit: b.svc.Slots, Incarnation: "i1"})
	return b
}

// callers runs n callers, of which each sends up to each requests until warm.
func (b *bench) callers(n, each int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for j := 0; j < each && b.phase() != state.PhaseWarm; j++ {
				if b.do(b.work(fmt.Sprintf("%d-%d", i, j), time.Second)).Code == outcome.NotRun {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
}

func (b *bench) phase() state.Phase { l, _ := b.pool.Load("t"); return l.Phase }
func (b *bench) limit() int         { l, _ := b.pool.Load("t"); return l.Limit }
