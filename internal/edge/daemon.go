// Package edge assembles an instance on the users' platform and runs it from start
// to graceful shutdown.
package edge

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/api"
	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/follow"
	"github.com/baobabsill/baobabsill/internal/forward"
	"github.com/baobabsill/baobabsill/internal/ingress"
	"github.com/baobabsill/baobabsill/internal/lifecycle"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/replica"
	"github.com/baobabsill/baobabsill/internal/settings"
	"github.com/baobabsill/baobabsill/internal/status"
	"github.com/baobabsill/baobabsill/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("edge")

// Daemon is one instance. It owns its listeners and components: New creates them, and
// Run runs and closes them. settings is replaced at each reload; stopping is set when
// the shutdown begins.
type Daemon struct {
	logger       *log.Logger
	settingsPath string // read again at each reload
	settings     atomic.Pointer[settings.Edge]
	reloadSignal <-chan os.Signal

	catalog        *catalog.Store
	store          *platform.Store
	link           *follow.Link
	registrar      *follow.Registrar
	pool           *replica.Pool
	forwarder      *forward.Forwarder
	server         *ingress.Server
	balancerServer *ingress.Admin
	operatorServer *ingress.Admin
	peers          *peers
	peerConns      *peer.Conns
	peerServer     *peer.Server
	metrics        io.Closer
	stopping       atomic.Bool
	lastReady      atomic.Bool
	components     []func(context.Context) error
}

// New assembles an instance and opens its listeners. logQueue is what logger writes
// to; its dropped lines are counted in the metrics. The settings s are those of
// settingsPath, which is read again after each signal on reloadSignal.
func New(logger *log.Logger, logQueue *logs.Queue, s settings.Edge, settingsPath string, reloadSignal <-chan os.Signal) (*Daemon, error) {
	host, _, err := net.SplitHostPort(s.CallerListen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	source := net.ParseIP(host)
	scope, metricsHandler, closer := api.NewMetrics(logger)
	d := &Daemon{
		logger: logger, settingsPath: settingsPath, reloadSignal: reloadSignal, metrics: closer,
		catalog: catalog.NewStore(coldHeartbeats * s.Heartbeat),
		store:   platform.NewStore(s.PlatformAddress, source),
		link:    follow.NewLink(logger),
		pool:    replica.NewPool(logger, platform.NewReplicaClients(source).NewClient),
	}
	d.settings.Store(&s)
	d.peerConns = peer.NewConns(d.logger, source, peerOptions)
	d.peers = &peers{name: s.Name, zone: s.Zone, ownAddress: s.PeerListen, seeds: s.Seeds, catalog: d.catalog, conns: d.peerConns}
	d.forwarder = forward.NewForwarder(logger, scope, d.catalog, d.pool, d.peers, d.forwardOptions(s))
	plan := admission.Divide(admission.Resources{Memory: s.Memory, Descriptors: s.Descriptors})
	callers, peerCalls := admission.NewBudget("callers", plan.Callers), admission.NewBudget("peers", plan.Peers)
	balancer, operators := admission.NewBudget("balancer", plan.Admin), admission.NewBudget("metrics", plan.Admin)
	if d.server, err = ingress.NewServer(logger, s.CallerListen, callers, platform.Ingress{}, d.forwarder, d.limits); err != nil {
		return nil, Error.Wrap(err)
	}
	if d.balancerServer, err = ingress.NewAdmin(logger, s.ReadyListen, balancer, ingress.AdminOptions{ReadyPath: platform.ReadyPath, Ready: d.isReady}); err != nil {
		return nil, Error.Wrap(err)
	}
	if d.operatorServer, err = ingress.NewAdmin(logger, s.MetricsListen, operators, ingress.AdminOptions{Metrics: metricsHandler, Status: d.status}); err != nil {
		return nil, Error.Wrap(err)
	}
	d.addStoreControllers(peerCalls)
	if err := d.peerServer.Listen(); err != nil {
		return nil, Error.Wrap(err)
	}
	d.components = append(d.components, d.server.Run, d.balancerServer.Run, d.operatorServer.Run, d.maintainConnections, d.watchSettings,
		func(ctx context.Context) error { return logQueue.ReportDropped(ctx, logger, scope) },
		func(ctx context.Context) error {
			return admission.Report(ctx, logger, scope, callers, peerCalls, balancer, operators)
		})
	return d, nil
}

const (
	// coldHeartbeats is the number of heartbeats for which the replicas of a zone
	// count as cold after its evacuation. Their next reports show whether they are.
	coldHeartbeats = 2
	// longWatchWait is how long watches wait for changes, except that of the
	// configuration, whose shorter wait shows that the store can be reached. They
	// are cancelled when the link is lost. It is below the longest wait that the
	// store accepts, 30 s.
	longWatchWait = 25 * time.Second
	// instanceBatchDelay is the pause after a change of the list of instances before
	// further ones are read. Each start of an instance changes it.
	instanceBatchDelay = 2 * time.Second
	// replicaBatchDelay is the pause after changes of replicas before further ones
	// are read. They come in groups.
	replicaBatchDelay = 500 * time.Millisecond
)

// peerOptions bounds the connections between instances, of which each one has many.
var peerOptions = peer.Options{ConnsPerPeer: 1, PingAfter: 5 * time.Second}

// startWait returns for how long an instance that starts asks the seeds before it reads
// from the store itself. If all instances start for the first time, the seeds have read
// nothing yet and no caller waits.
func startWait(first bool) time.Duration {
	if first {
		return 5 * time.Second
	}
	return 1500 * time.Millisecond
}

// addStoreControllers adds the controllers that keep the catalog up to date with
// the store, those that relay between instances, and the peer server, whose clients hold
// what peerBudget allows.
func (d *Daemon) addStoreControllers(peerBudget *admission.Budget) {
	s := d.settings.Load()
	replicaSink := follow.NewReplicaSink(d.logger, d.catalog, d.link)
	config := follow.NewFollower(d.logger, "configuration", d.link, d.store.Config(),
		follow.ConfigSink{Logger: d.logger, Store: d.catalog, Name: platform.ConfigName}, follow.WatchWait(s.Contact), 0)
	replicas := follow.NewFollower(d.logger, "replicas", d.link, d.store.Replicas(), replicaSink, longWatchWait, replicaBatchDelay)
	zoneSink := follow.NewZoneSink(d.logger, d.catalog, d.link)
	evacuations := follow.NewFollower(d.logger, "evacuations", d.link, d.store.Evacuations(), zoneSink, longWatchWait, 0)
	instanceSink := follow.NewInstanceSink(d.logger, d.catalog, d.link, s.Name)
	instances := follow.NewFollower(d.logger, "daemons", d.link, d.store.Instances(), instanceSink, longWatchWait, instanceBatchDelay)
	d.registrar = follow.NewRegistrar(d.logger, d.link, d.store, instanceSink, s.Name, catalog.Instance{Address: s.PeerListen, Zone: s.Zone, Capacity: s.CPUShare * s.CPUSpeed})
	relay := follow.NewRelay(d.logger, d.link, d.peers,
		follow.MaxRelayAge(s.Contact),
		config, replicas, evacuations, instances)
	if len(d.peers.otherSeeds()) > 0 {
		relay.AwaitSeeds(startWait(s.FirstStart))
	}
	d.peerServer = peer.NewServer(d.logger, s.PeerListen, peerBudget, peerService{relay, d.forwarder})
	d.components = append(d.components, replicaSink.Run, zoneSink.Run, instanceSink.Run, d.registrar.Run,
		config.Run, replicas.Run, evacuations.Run, relay.Run, d.peerServer.Run,
		func(ctx context.Context) error { return d.forwarder.RunBorrowing(ctx, d.peers) },
		func(ctx context.Context) error {
			d.registrar.Register(ctx)
			return instances.Run(ctx)
		},
	)
}

// Run serves until stop ends and then shuts down gracefully. When force ends, the
// shutdown no longer waits.
func (d *Daemon) Run(stop, force context.Context) error {
	s := d.settings.Load()
	d.logger.Info().Str("event", "start").Str("zone", s.Zone).Str("region", s.Region).
		Str("callers", s.CallerListen).Str("platform", s.PlatformAddress).Msg("instance starts")
	err := lifecycle.Run(stop, force, d.components, d.shutdown)
	d.peerConns.Close()
	d.pool.Close()
	d.store.Close()
	return errs.Combine(err, d.metrics.Close())
}

// isReady reports whether the load balancer may send callers to this instance. It
// logs each change.
func (d *Daemon) isReady() bool {
	snap := d.catalog.Load()
	ready := snap.Config != nil && snap.ReplicasKnown && !d.stopping.Load()
	if d.lastReady.Swap(ready) != ready {
		d.logger.Info().Str("event", "ready").Bool("ready", ready).Int("replicas", snap.ReplicaCount()).Msg("readiness changed")
	}
	return ready
}

func (d *Daemon) limits() ingress.Limits {
	c := d.catalog.Load().Config
	if c == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{HeaderBytes: c.Limits.HeaderBytes, BodyBytes: c.Limits.BodyBytes, Idle: c.Limits.IdleTimeout}
}

// maintenanceInterval is how often connections to replicas are adjusted to changes
// of the catalog. It is well below the seconds between the start of a replica and
// its first request.
const maintenanceInterval = 100 * time.Millisecond

// reconnectIntervals is the number of maintenance intervals between two passes that
// reopen connections that replicas have closed. Replicas close connections that
// were idle for seconds.
const reconnectIntervals = 10

// maintainConnections opens connections to new replicas, closes those to removed
// ones, and reopens those that replicas have closed, until ctx ends.
func (d *Daemon) maintainConnections(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var seen *catalog.Snapshot
	for n := 0; ; n++ {
		if n%reconnectIntervals == 0 {
			d.forwarder.ReopenClosedConnections()
			d.forwarder.PrepareLeaves(ctx)
		}
		if snap := d.catalog.Load(); snap != seen {
			seen = snap
			d.pool.RemoveUnlisted(snap)
			d.forwarder.OpenConnections()
			d.forwarder.PrepareLeaves(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) status() any {
	snap := d.catalog.Load()
	doc := status.EdgeDocument{
		Instance: d.settings.Load().Name, Zone: d.settings.Load().Zone, Ready: d.isReady(), StoreLost: d.link.Lost(), StoreEra: d.link.Era(),
		Evacuated: snap.Evacuated(), InstanceNames: snap.InstanceNames, InFlight: d.forwarder.InFlight(), Gathering: d.forwarder.Gathering(), Replicas: d.pool.Reports(time.Now()),
	}
	if snap.Config != nil {
		doc.ConfigVersion = snap.Config.Version
	}
	return doc
}
