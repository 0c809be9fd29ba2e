package peer

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Guards against calls that hold more than the budget, calls that are refused although
// there is room, and room that is not given back.
func TestCallsStayWithinBudget(t *testing.T) {
	f, s, conns := startServer(t)
	s.http.Handler.(*intake).budget = admission.NewBudget("calls", admission.Limits{Bytes: 1 << 20})
	client := conns.Client(s.Address())
	execute := func(bodyBytes int) error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := client.Execute(ctx, &peerpb.ExecuteRequest{AttemptId: strings.Repeat("b", bodyBytes)})
		return err
	}
	for range 3 {
		running := make(chan error, 1)
		go func() { running <- execute(200 << 10) }()
		<-f.started
		if err := execute(200 << 10); !isTwirp(err, twirp.Malformed) {
			t.Errorf("a call without room ends with %v", err)
		}
		if err := execute(1 << 20); !isTwirp(err, twirp.Malformed) {
			t.Errorf("a call above the limit ends with %v", err)
		}
		f.finish <- struct{}{}
		if err := <-running; err != nil {
			t.Error(err)
		}
	}
}

func isTwirp(err error, code twirp.ErrorCode) bool {
	e, ok := err.(twirp.Error)
	return ok && e.Code() == code
}

// Guards against a call that is served although it has given way to others.
func TestCallThatGaveWayIsNotServed(t *testing.T) {
	budget := admission.NewBudget("test", admission.Limits{Conns: 1, Bytes: 30})
	lease, ok := budget.AdmitRequest(20, func() {})
	if !ok {
		t.Fatal("no room")
	}
	body := &chargedBody{ReadCloser: io.NopCloser(strings.NewReader("")), call: &call{conn: newLease(t), lease: lease}}
	if _, ok := budget.AdmitRequest(20, func() {}); !ok {
		t.Fatal("the first call does not give way")
	}
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, errNoRoom) {
		t.Errorf("the body ends with %v", err)
	}
}

// Guards against an instance that ends because a call gives way while it ends.
func TestEvictionOfEndedCall(t *testing.T) {
	c := &call{conn: newLease(t), lease: newLease(t)}
	c.beginServing()
	c.end()
	c.evict()
	if c.lease.Resize(2) {
		t.Error("the lease is not released")
	}
}

func newLease(t *testing.T) *admission.Lease {
	t.Helper()
	l, ok := admission.NewBudget("test", admission.Limits{Conns: 1, Bytes: 10}).AdmitConn(1, func() {})
	if !ok {
		t.Fatal("no room")
	}
	return l
}
