package control

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// exchange has one node ask another and returns both messages.
func exchange(t *testing.T, w *network, from, to *node) (*peerpb.ExchangeRequest, *peerpb.ExchangeReply) {
	t.Helper()
	w.mu.Lock()
	w.request, w.reply = nil, nil
	w.mu.Unlock()
	from.members.heartbeat(t.Context(), to.self.PeerAddress, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reply == nil {
		t.Fatalf("no answer of %s to %s", to.self.Name, from.self.Name)
	}
	return w.request, w.reply
}

// Guards against heartbeats that carry all versions while nothing changes, and
// against peers that stay behind because a version list was left out.
func TestVersionsOnlyOnDifference(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")
		p.apply(t, "config", "main", `{"name":"one"}`)
		time.Sleep(10100 * time.Millisecond) // between heartbeats
		if req, reply := exchange(t, w, a, b); len(req.Versions) != 0 || len(reply.Versions) != 0 {
			t.Errorf("%d and %d versions without a difference", len(req.Versions), len(reply.Versions))
		}
		a.sync.apply(platform.Object{Kind: "config", Name: "main", Version: 1000, Value: []byte(`{"name":"new"}`)})
		if req, reply := exchange(t, w, a, b); len(req.Versions) == 0 || len(reply.Versions) == 0 {
			t.Error("no versions with a difference")
		}
		time.Sleep(100 * time.Millisecond)
		if got := b.store.Load().ConfigVersion; got != 1000 {
			t.Errorf("version %d at the peer, want 1000", got)
		}
		if !a.sync.Observe(b.self.PeerAddress, nil, 12345) {
			t.Error("another digest without a list counts as no difference")
		}
	})
}
