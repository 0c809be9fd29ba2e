// Package daemon connects the components of an instance that `baobabsill run` runs,
// and runs them from start to graceful shutdown.
package daemon

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/api"
	"github.com/baobabsill/baobabsill/internal/control"
	"github.com/baobabsill/baobabsill/internal/dispatch"
	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/lifecycle"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/once"
	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/settings"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/target"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Daemon is one instance. It owns its components, which Run starts, stops and
// closes; Run can be called only once.
type Daemon struct {
	logger   *log.Logger
	settings settings.Settings
	self     control.Self

	store      *state.Store
	platform   *platform.Client
	conns      *peer.Conns
	freshness  *control.Freshness
	sync       *control.Sync
	targets    *control.TargetList
	membership *control.Membership
	leases     *placement.Leases
	placement  *placement.Controller
	pool       *target.Pool
	dispatcher *dispatch.Dispatcher
	gateway    *gateway.Gateway
	once       *once.Manager
	janitor    *once.JanitorController
	peers      *peer.Server
	api        *api.Server
	metrics    io.Closer
	// reportDroppedLines counts and logs dropped log lines until its context ends, and
	// reportClients what the clients hold.
	reportDroppedLines, reportClients func(context.Context) error
	// ready is set once the load balancer may send callers to this instance.
	ready atomic.Bool
}

// New creates an instance without opening a socket. logQueue is what logger writes
// to; its dropped lines are counted in the metrics.
func New(logger *log.Logger, logQueue *logs.Queue, s settings.Settings) (*Daemon, error) {
	source, err := listenIP(s.Instance.PeerListen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		logger: logger, settings: s, store: state.NewStore(),
		self: control.Self{
			Name: s.Instance.Name, Incarnation: rand.Text()[:12], Zone: s.Instance.Zone,
			PeerAddress: s.Instance.PeerAddress, CallerAddress: s.Instance.CallerAddress, Seeds: s.Instance.Seeds,
		},
	}
	d.platform = platform.NewClient(s.Platform.Address, s.Platform.Timeout, platform.WithSource(source))
	d.conns = peer.NewConns(logger, source, peer.DefaultOptions)
	scope, metricsHandler, closer := api.NewMetrics(logger)
	d.metrics = closer
	d.reportDroppedLines = func(ctx context.Context) error { return logQueue.ReportDropped(ctx, logger, scope) }

	d.pool = target.NewPool(logger, scope, target.Options{LocalIP: source})
	d.leases = placement.NewLeases(d.self.Name, d.self.Zone, d.store)
	d.freshness = control.NewFreshness(logger)
	d.sync = control.NewSync(logger, d.self, d.store, d.platform, d.conns, d.freshness)
	d.targets = control.NewTargetList(logger, d.self, d.store, d.sync, d.platform)
	d.membership = control.NewMembership(logger, d.self, d.store, d.conns, d.sync, d.freshness, d.leases, d.pool, d.platform)
	d.freshness.OnRefresh(d.sync.Refresh)
	d.freshness.OnRefresh(d.membership.Refresh)
	d.placement = placement.NewController(logger, placement.Config{
		Self: d.self.Name, Zone: d.self.Zone, Store: d.store, Leases: d.leases,
		Platform: d.platform, Pool: d.pool, Peers: d.conns, Apply: d.sync.Apply, Ready: d.isMember,
	})
	d.dispatcher = dispatch.NewDispatcher(logger, scope, d.self.Name, d.store, d.freshness, d.leases, d.pool)
	d.gateway = gateway.NewGateway(logger, d.store, d.freshness, d, d.route, peer.NotSent, gateway.Options{
		Zone: d.self.Zone, MaxInFlight: s.Limits.MaxInFlight, Trace: s.Log.Trace, Scope: scope, RoundTrips: d.membership.RoundTrips,
		Policy: gateway.Policy{
			Hedging:       gateway.Hedging(s.Policy.Hedging),
			ReplicaChoice: gateway.ReplicaChoice(s.Policy.ReplicaChoice),
			Retries:       gateway.Retries(s.Policy.Retries),
		},
	})
	d.once = once.NewManager(logger, once.Self{Name: d.self.Name, Incarnation: d.self.Incarnation}, d.store, d.platform, d.gateway, d)
	d.janitor = once.NewJanitorController(logger, d.platform, d.isZoneLeader)
	plan := admission.Divide(admission.Resources{Memory: s.Limits.Memory, Descriptors: s.Limits.Descriptors, LargestBody: s.Limits.MaxBodyBytes})
	callers, peerCalls := admission.NewBudget("callers", plan.Callers), admission.NewBudget("peers", plan.Peers)
	d.peers = peer.NewServer(logger, s.Instance.PeerListen, peerCalls, peerService{d})
	d.reportClients = func(ctx context.Context) error { return admission.Report(ctx, logger, scope, callers, peerCalls) }
	d.api = api.NewServer(logger, api.Options{
		Listen: s.Instance.CallerListen, MaxBodyBytes: int(s.Limits.MaxBodyBytes),
		DefaultDeadline: s.Limits.DefaultDeadline, MaxDeadline: s.Limits.MaxDeadline, Metrics: metricsHandler,
		Budget: callers,
	}, d.gateway, onceAPI{d.once}, d)
	return d, nil
}

// Run serves until stop ends and then shuts down gracefully. The end of force cuts
// the shutdown short. The error is nil after a complete graceful shutdown.
func (d *Daemon) Run(stop, force context.Context) error {
	if err := d.peers.Listen(); err != nil {
		return Error.New("peer address: %v", err)
	}
	if _, err := d.api.Listen(); err != nil {
		return Error.New("caller address: %v", err)
	}
	d.logger.Info().Str("event", "start").Str("instance", d.self.Name).Str("zone", d.self.Zone).
		Str("incarnation", d.self.Incarnation).Msg("instance starts")

	components := []func(context.Context) error{
		d.peers.Run, d.api.Run, d.sync.Run, d.targets.Run, d.membership.Run,
		d.placement.Run, d.dispatcher.Run, d.janitor.Run, d.becomeReady, d.reportDroppedLines, d.reportClients,
	}
	err := lifecycle.Run(stop, force, components, d.shutdown)
	return errs.Combine(err, d.close())
}

func (d *Daemon) close() error {
	d.leases.Close()
	d.pool.Close()
	d.conns.Close()
	d.platform.Close()
	return d.metrics.Close()
}

// isMember reports whether the instance takes part in the placement.
func (d *Daemon) isMember() bool { return d.membership.State() == control.StateReady }

// placementTimeout bounds the wait of a starting instance for the placements of all
// zones. During an outage of the platform it may never see them.
const placementTimeout = 3 * time.Second

// becomeReady joins the placement as soon as a configuration is in force. It
// reports the instance as ready to the load balancer once all targets have a
// holder, or after placementTimeout if there are targets at all.
func (d *Daemon) becomeReady(ctx context.Context) error {
	if !d.waitFor(ctx, func(snap *state.Snapshot) bool { return snap.ConfigVersion > 0 }) {
		return nil
	}
	d.membership.SetState(control.StateReady)
	joined := time.Now()
	readyToServe := func(snap *state.Snapshot) bool {
		return len(snap.Targets) > 0 && (allTargetsHeld(snap) || time.Since(joined) > placementTimeout)
	}
	if d.waitFor(ctx, readyToServe) {
		d.ready.Store(true)
		d.logger.Info().Str("event", "ready").Int64("config_version", d.store.Load().ConfigVersion).Msg("instance is ready")
	}
	return nil
}

// waitFor waits until the condition holds. It returns false if ctx ends first.
func (d *Daemon) waitFor(ctx context.Context, condition func(*state.Snapshot) bool) bool {
	const checkInterval = 50 * time.Millisecond
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for !condition(d.store.Load()) {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// allTargetsHeld reports whether each target has a holder.
func allTargetsHeld(snap *state.Snapshot) bool {
	for _, t := range snap.Targets {
		if snap.Placements[t.Zone].Holders[t.Name] == "" {
			return false
		}
	}
	return true
}

// isZoneLeader reports whether this instance has the lowest name among the
// live ones of its zone.
func (d *Daemon) isZoneLeader() bool {
	for _, i := range d.store.Load().Instances {
		if i.Zone == d.self.Zone && i.Liveness == state.Alive && i.Name < d.self.Name {
			return false
		}
	}
	return true
}

// listenIP returns the IP of a listen address, or nil if it is unspecified.
func listenIP(address string) (net.IP, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ip := net.ParseIP(host)
	if ip.IsUnspecified() {
		return nil, nil
	}
	return ip, nil
}
