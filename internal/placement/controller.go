package placement

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// kindPlacement is the kind of the platform object of each zone.
	kindPlacement  = "placement"
	reconcileEvery = 100 * time.Millisecond
	// readEvery is the interval of platform reads while the peers' grants do
	// not confirm the lease. Three reads fit into one LeaseTerm.
	readEvery = 450 * time.Millisecond
	// callTimeout bounds each call to the platform and to a peer.
	callTimeout = 500 * time.Millisecond
)

// Platform is the part of the platform client that the Controller uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error)
}

// Pool gives up and takes over the state of targets.
type Pool interface {
	Idle(target string) bool
	Release(target string) state.Load
	Adopt(load state.Load)
}

// Peers returns the client of a peer by address.
type Peers interface {
	Client(address string) peerpb.Peer
}

// Config wires a Controller.
type Config struct {
	Self, Zone string
	Store      *state.Store
	Rights     *Rights
	Platform   Platform
	Pool       Pool
	Peers      Peers
	// Apply publishes an object that was read or written, unless it is older
	// than the known one.
	Apply func(platform.Object)
	// Ready reports whether the instance may become a member; nil means yes.
	Ready func() bool
}

// Controller reconciles the placement of its zone, renews the lease and hands
// targets over. Its methods may be called concurrently; Run is called once.
type Controller struct {
	config Config
	logger *log.Logger
	plan   *planner

	mu        sync.Mutex
	reading   bool
	readAt    time.Time // start of the last read
	absent    bool      // the platform answered that there is no placement
	leaving   bool
	handovers map[string]bool  // targets whose handover message is under way
	adopted   map[string]int64 // epochs of the handovers that were accepted
}

// NewController returns a Controller.
func NewController(logger *log.Logger, config Config) *Controller {
	logger = logs.OrDiscard(logger)
	return &Controller{
		config: config, logger: logger, plan: newPlanner(config.Self, config.Zone),
		handovers: map[string]bool{}, adopted: map[string]int64{},
	}
}

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		c.reconcile(ctx, &calls)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) reconcile(ctx context.Context, calls *sync.WaitGroup) {
	now := time.Now()
	snap := c.config.Store.Load()
	p := snap.Placements[c.config.Zone]
	c.config.Rights.ObserveAdopted(p.Epoch, now)
	c.releaseMoved(ctx, calls, snap)
	c.renew(ctx, calls, p, now)
	c.replan(ctx, snap, p, now)
}

// replan writes the next placement if the members or targets changed and it is
// the turn of this instance.
func (c *Controller) replan(ctx context.Context, snap *state.Snapshot, p state.Placement, now time.Time) {
	c.mu.Lock()
	leaving, absent := c.leaving, c.absent
	c.mu.Unlock()
	join := !leaving && (c.config.Ready == nil || c.config.Ready())
	e := c.config.Rights.Evidence()
	c.plan.observe(snap, p, join, now)
	c.plan.observeEvidence(p, e, now)
	isRead := !e.Platform.At.IsZero() && (p.Epoch != 0 || absent)
	if !join || !isRead {
		return
	}
	members, reason := c.plan.members(p, now)
	if len(members) == 0 || reason == "" && !slices.Contains(members, c.config.Self) {
		return
	}
	targets := zoneTargets(snap, c.config.Zone)
	if reason == reasonOrphaned {
		// The moves of p cannot be seen to end; the takeover carries them on.
		if c.plan.turn(now) && c.write(ctx, p, takeoverPlacement(p, c.config.Zone, members, targets), reason) == nil {
			c.plan.orphan.tookOver = true
		}
		return
	}
	n := nextPlacement(p, c.config.Zone, members, targets)
	if reason == "" && maps.Equal(n.Holders, p.Holders) {
		c.plan.dirty = time.Time{}
		return
	}
	if reason == "" {
		reason = "targets changed"
	}
	if c.plan.turn(now) && settled(p, e, c.config.Self, now) {
		_ = c.write(ctx, p, n, reason) // logged; the next round tries again
		c.plan.dirty = time.Time{}
	}
}

// renew reads the placement from the platform while the peers' grants do not
// confirm the lease for another read interval.
func (c *Controller) renew(ctx context.Context, calls *sync.WaitGroup, p state.Placement, now time.Time) {
	e := c.config.Rights.Evidence()
	granted := !e.Platform.At.IsZero() && slices.Contains(p.Members, c.config.Self) &&
		grantedUntil(p, e, c.config.Self).After(now.Add(readEvery))
	c.mu.Lock()
	due := !granted && !c.reading && now.Sub(c.readAt) >= readEvery
	if due {
		c.reading, c.readAt = true, now
	}
	c.mu.Unlock()
	if due {
		calls.Go(func() {
			_, _ = c.read(ctx)
			c.mu.Lock()
			c.reading = false
			c.mu.Unlock()
		})
	}
}

// read gets the placement from the platform and publishes it.
func (c *Controller) read(ctx context.Context) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	o, err := c.config.Platform.Get(ctx, kindPlacement, c.config.Zone)
	missing := platform.ErrNotFound.Has(err)
	if err == nil || missing {
		if !missing {
			c.config.Apply(o)
		}
		c.config.Rights.ObservePlatform(o.Version, sentAt)
		c.mu.Lock()
		c.absent = missing
		c.mu.Unlock()
	}
	return o, err
}

// write replaces the placement p by n if p is still in force at the platform.
func (c *Controller) write(ctx context.Context, p, n state.Placement, reason string) error {
	epoch, err := c.put(ctx, p, n)
	entry := c.logger.Info()
	if err != nil {
		entry = c.logger.Warn().Err(err)
	}
	entry.Str("zone", c.config.Zone).Str("reason", reason).Int64("from_epoch", p.Epoch).Int64("epoch", epoch).
		Strs("members", n.Members).Int("targets", len(n.Holders)).Int("moved", len(n.Previous)).
		Bool("released", n.Released).Msg("placement decision")
	return err
}

// put writes n on the condition that p is in force and returns its epoch.
func (c *Controller) put(ctx context.Context, p, n state.Placement) (int64, error) {
	value, err := json.Marshal(n)
	if err != nil {
		return 0, err
	}
	version := p.Epoch
	c.mu.Lock()
	if c.absent {
		version = 0
	}
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	epoch, err := c.config.Platform.Put(callCtx, kindPlacement, c.config.Zone, value, version)
	cancel()
	if err == nil {
		c.config.Apply(platform.Object{Kind: kindPlacement, Name: c.config.Zone, Version: epoch, Value: value})
		c.mu.Lock()
		c.absent = false
		c.mu.Unlock()
		return epoch, nil
	}
	if platform.ErrUnavailable.Has(err) {
		return 0, err
	}
	// After a conflict or a lost answer the object itself says what is in
	// force.
	o, readErr := c.read(ctx)
	if readErr == nil && o.Version > p.Epoch {
		var current state.Placement
		if json.Unmarshal(o.Value, &current) == nil && samePlacement(current, n) {
			return o.Version, nil
		}
	}
	return epoch, err
}

func samePlacement(a, b state.Placement) bool {
	return a.Released == b.Released && slices.Equal(a.Members, b.Members) &&
		maps.Equal(a.Holders, b.Holders) && maps.Equal(a.Previous, b.Previous)
}
