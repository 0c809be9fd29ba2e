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
	kindPlacement     = "placement"
	reconcileInterval = 100 * time.Millisecond
	// readInterval is the interval of platform reads while the grants of the
	// peers do not confirm the leases. Three reads fit into one LeaseTerm.
	readInterval = 450 * time.Millisecond
	// callTimeout applies to each call to the platform or a peer.
	callTimeout = 500 * time.Millisecond
)

// Platform is the part of the platform client that the Controller uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error)
}

// Pool holds the state of the targets that this instance sends to. The
// Controller moves that state in and out when a target changes its holder.
type Pool interface {
	Idle(target string) bool
	Release(target string) state.Load
	AdoptLoad(load state.Load)
}

// Peers returns the client of a peer by address.
type Peers interface {
	Client(address string) peerpb.Peer
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Self, Zone string
	Store      *state.Store
	Leases     *Leases
	Platform   Platform
	Pool       Pool
	Peers      Peers
	// Apply publishes an object that was read from or written to the platform,
	// unless a newer one is known.
	Apply func(platform.Object)
	// Ready reports whether the instance may become a member; nil means always.
	Ready func() bool
}

// Controller keeps the placement of its zone up to date, renews the leases of
// this instance and hands targets over. Its methods may be called concurrently;
// Run is called once.
type Controller struct {
	config Config
	logger *log.Logger
	plan   *planner

	mu                sync.Mutex
	reading           bool
	readStartedAt     time.Time // start of the last platform read
	noPlacement       bool      // the platform answered that there is no placement
	leaving           bool
	pendingHandovers  map[string]bool  // targets whose handover is being sent
	acceptedHandovers map[string]int64 // epoch of the last accepted handover, by target
}

func NewController(logger *log.Logger, config Config) *Controller {
	logger = logs.OrDiscard(logger)
	return &Controller{
		config: config, logger: logger, plan: newPlanner(config.Self, config.Zone),
		pendingHandovers: map[string]bool{}, acceptedHandovers: map[string]int64{},
	}
}

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
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
	c.config.Leases.ObserveAdoptedEpoch(p.Epoch, now)
	c.releaseMovedTargets(ctx, calls, snap)
	c.renewLease(ctx, calls, p, now)
	c.replan(ctx, snap, p, now)
}

// replan writes the next placement if the members or targets changed and it is
// this instance's turn.
func (c *Controller) replan(ctx context.Context, snap *state.Snapshot, p state.Placement, now time.Time) {
	c.mu.Lock()
	leaving, noPlacement := c.leaving, c.noPlacement
	c.mu.Unlock()
	join := !leaving && (c.config.Ready == nil || c.config.Ready())
	e := c.config.Leases.Evidence()
	c.plan.observeLiveness(snap, p, join, now)
	c.plan.observeEvidence(p, e, now)
	placementKnown := !e.Platform.At.IsZero() && (p.Epoch != 0 || noPlacement)
	if !join || !placementKnown {
		return
	}
	members, reason := c.plan.members(p, now)
	if len(members) == 0 || reason == "" && !slices.Contains(members, c.config.Self) {
		return
	}
	targets := zoneTargets(snap, c.config.Zone)
	if reason == reasonOrphaned {
		// Whether the moves of p have ended is unknown; the takeover keeps them.
		if c.plan.isMyTurn(now) && c.writePlacement(ctx, p, takeoverPlacement(p, c.config.Zone, members, targets), reason) == nil {
			c.plan.orphan.tookOver = true
		}
		return
	}
	n := nextPlacement(p, c.config.Zone, members, targets)
	if reason == "" && maps.Equal(n.Holders, p.Holders) {
		c.plan.changeDueSince = time.Time{}
		return
	}
	if reason == "" {
		reason = "targets changed"
	}
	if c.plan.isMyTurn(now) && allMovesEnded(p, e, c.config.Self, now) {
		_ = c.writePlacement(ctx, p, n, reason) // the error is logged; the next reconciliation retries
		c.plan.changeDueSince = time.Time{}
	}
}

// renewLease reads the placement from the platform unless the grants of the
// peers confirm the leases for another readInterval.
func (c *Controller) renewLease(ctx context.Context, calls *sync.WaitGroup, p state.Placement, now time.Time) {
	e := c.config.Leases.Evidence()
	granted := !e.Platform.At.IsZero() && slices.Contains(p.Members, c.config.Self) &&
		grantedUntil(p, e, c.config.Self).After(now.Add(readInterval))
	c.mu.Lock()
	due := !granted && !c.reading && now.Sub(c.readStartedAt) >= readInterval
	if due {
		c.reading, c.readStartedAt = true, now
	}
	c.mu.Unlock()
	if due {
		calls.Go(func() {
			_, _ = c.readPlacement(ctx)
			c.mu.Lock()
			c.reading = false
			c.mu.Unlock()
		})
	}
}

// readPlacement reads the placement from the platform and publishes it.
func (c *Controller) readPlacement(ctx context.Context) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	o, err := c.config.Platform.Get(ctx, kindPlacement, c.config.Zone)
	notFound := platform.ErrNotFound.Has(err)
	if err == nil || notFound {
		if !notFound {
			c.config.Apply(o)
		}
		c.config.Leases.ObservePlatform(o.Version, sentAt)
		c.mu.Lock()
		c.noPlacement = notFound
		c.mu.Unlock()
	}
	return o, err
}

// writePlacement replaces the placement p by n, provided that the platform
// still has p, and logs the decision.
func (c *Controller) writePlacement(ctx context.Context, p, n state.Placement, reason string) error {
	epoch, err := c.putPlacement(ctx, p, n)
	entry := c.logger.Info()
	if err != nil {
		entry = c.logger.Warn().Err(err)
	}
	entry.Str("zone", c.config.Zone).Str("reason", reason).Int64("from_epoch", p.Epoch).Int64("epoch", epoch).
		Strs("members", n.Members).Int("targets", len(n.Holders)).Int("moved", len(n.Previous)).
		Bool("released", n.Released).Msg("placement decision")
	return err
}

// putPlacement writes n, provided that the platform still has p, and returns
// the epoch of n.
func (c *Controller) putPlacement(ctx context.Context, p, n state.Placement) (int64, error) {
	value, err := json.Marshal(n)
	if err != nil {
		return 0, err
	}
	version := p.Epoch
	c.mu.Lock()
	if c.noPlacement {
		version = 0
	}
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	epoch, err := c.config.Platform.Put(callCtx, kindPlacement, c.config.Zone, value, version)
	cancel()
	if err == nil {
		c.config.Apply(platform.Object{Kind: kindPlacement, Name: c.config.Zone, Version: epoch, Value: value})
		c.mu.Lock()
		c.noPlacement = false
		c.mu.Unlock()
		return epoch, nil
	}
	if platform.ErrUnavailable.Has(err) {
		return 0, err
	}
	// After a conflict or a lost answer, a read shows whether n was written.
	o, readErr := c.readPlacement(ctx)
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
