package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// fakePeer holds each Execute call until finish is closed or the call is
// cancelled.
type fakePeer struct {
	peerpb.Peer
	started, cancelled chan struct{}
	finish             chan struct{}
}

func (f *fakePeer) Execute(ctx context.Context, r *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	f.started <- struct{}{}
	select {
	case <-ctx.Done():
		f.cancelled <- struct{}{}
		return nil, ctx.Err()
	case <-f.finish:
		return &peerpb.ExecuteReply{AttemptId: r.AttemptId}, nil
	}
}

func startServer(t *testing.T) (*fakePeer, *Server, *Conns) {
	t.Helper()
	goleak.VerifyNone(t)
	f := &fakePeer{started: make(chan struct{}, 1), cancelled: make(chan struct{}, 1), finish: make(chan struct{})}
	s := NewServer(nil, "127.0.0.1:0", admission.NewBudget("peers", admission.Divide(admission.Resources{}).Peers), f)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { done <- s.Run(ctx) }()
	c := NewConns(nil, net.IPv4(127, 0, 0, 1), DefaultOptions)
	t.Cleanup(func() {
		c.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f, s, c
}

func awaitSignal(t *testing.T, c chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatal("missing: " + what)
	}
}

// Guards against a holder that goes on working on a call after the calling
// instance cancelled it: the cancellation must reach the server.
func TestCancelReachesServer(t *testing.T) {
	f, s, c := startServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := c.Client(s.Address()).Execute(ctx, &peerpb.ExecuteRequest{AttemptId: "a"})
		failed <- err
	}()
	awaitSignal(t, f.started, "start")
	cancel()
	awaitSignal(t, f.cancelled, "cancellation at the server")
	if err := <-failed; err == nil || NotSent(err) {
		t.Fatalf("call that had started: NotSent of %v", err)
	}
}

// Guards against aborting running calls on a planned stop, and against treating
// a refused connection as a call that may have run.
func TestShutdownFinishesCallsAndRefusalIsNotSent(t *testing.T) {
	f, s, c := startServer(t)
	address := s.Address()
	result := make(chan error)
	go func() {
		_, err := c.Client(address).Execute(context.Background(), &peerpb.ExecuteRequest{AttemptId: "a"})
		result <- err
	}()
	awaitSignal(t, f.started, "start")
	stopped := make(chan error)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	select {
	case err := <-stopped:
		t.Fatalf("shutdown did not wait: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(f.finish)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	_, err := c.Client(address).Execute(context.Background(), &peerpb.ExecuteRequest{})
	if err == nil || !NotSent(err) {
		t.Fatalf("refused connection: NotSent of %v is false", err)
	}
}
