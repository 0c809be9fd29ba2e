package forward

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// prepareInterval is how long after the last call to a leaf its connection is used again.
// It is shorter than the time after which idle connections are closed.
const prepareInterval = 20 * time.Second

const (
	// preparedLeaves is the number of leaves of a group to which connections are kept.
	preparedLeaves = 2
	// prepareTimeout bounds the call that opens a connection to a leaf.
	prepareTimeout = 2 * time.Second
)

// PrepareLeaves opens connections to the leaves that this instance will ask first, and
// keeps them open, so that queries do not wait for connection set-up.
func (f *Forwarder) PrepareLeaves(ctx context.Context) {
	config := f.store.Load().Config
	if config == nil || f.leaves == nil {
		return
	}
	view, now := f.currentView(), time.Now()
	prepared := map[*catalog.Route]bool{}
	for _, route := range config.RouteByService() {
		if !route.IsScatter() || prepared[route] {
			continue
		}
		prepared[route] = true
		for _, g := range view.plan(route).groups {
			for n, leaf := range g.leaves {
				if f.leafBook.startPreparing(leaf.Name, n < preparedLeaves, now, prepareInterval) {
					go f.prepareLeaf(ctx, leaf.Name)
				}
			}
		}
	}
}

func (f *Forwarder) prepareLeaf(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	reply, err := f.leaves.Gather(ctx, name, &GatherRequest{Query: &Request{}, From: f.options.Load().Shares.Self, Route: noRoute})
	f.leafBook.finishPreparing(name, reply.Leaving, err, time.Now())
}
