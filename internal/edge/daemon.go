// Package edge wires an instance on the users' platform and runs it from start
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

// Daemon is one instance.
type Daemon struct {
	logger   *log.Logger
	path     string // of the settings
	settings atomic.Pointer[settings.Edge]
	hup      <-chan os.Signal

	catalog   *catalog.Store
	store     *platform.Store
	link      *follow.Link
	pool      *replica.Pool
	forwarder *forward.Forwarder
	server    *ingress.Server
	ready     *ingress.Admin
	operators *ingress.Admin
	conns     *peer.Conns
	peers     *peer.Server
	metrics   io.Closer
	stopping  atomic.Bool
	wasReady  atomic.Bool
	runners   []func(context.Context) error
}

// New wires an instance, whose log goes to lines, and opens its listeners. path is the file of the
// settings, which is read again after each signal on hup.
func New(logger *log.Logger, lines *logs.Queue, s settings.Edge, path string, hup <-chan os.Signal) (*Daemon, error) {
	host, _, err := net.SplitHostPort(s.CallerListen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	source := net.ParseIP(host)
	scope, metricsHandler, closer := api.NewMetrics(logger)
	d := &Daemon{
		logger: logger, path: path, hup: hup, metrics: closer,
		catalog: catalog.NewStore(returnHeartbeats * s.Heartbeat),
		store:   platform.NewStore(s.PlatformAddress, source),
		link:    follow.NewLink(logger),
		pool:    replica.NewPool(platform.NewReplicas(source).Dial),
	}
	d.settings.Store(&s)
	d.forwarder = forward.NewForwarder(logger, scope, d.catalog, d.pool, d.forwardOptions(s))
	if d.server, err = ingress.NewServer(logger, s.CallerListen, platform.Ingress{}, d.forwarder, d.limits); err != nil {
		return nil, Error.Wrap(err)
	}
	if d.ready, err = ingress.NewAdmin(s.ReadyListen, ingress.AdminOptions{ReadyPath: platform.ReadyPath, Ready: d.isReady}); err != nil {
		return nil, Error.Wrap(err)
	}
	if d.operators, err = ingress.NewAdmin(s.MetricsListen, ingress.AdminOptions{Metrics: metricsHandler, Status: d.status}); err != nil {
		return nil, Error.Wrap(err)
	}
	d.follow(source)
	if err := d.peers.Listen(); err != nil {
		return nil, Error.Wrap(err)
	}
	d.runners = append(d.runners, d.server.Run, d.ready.Run, d.operators.Run, d.upkeep, d.watchSettings,
		func(ctx context.Context) error { return lines.Run(ctx, logger, scope) })
	return d, nil
}

const (
	// returnHeartbeats is the number of heartbeats for which the replicas of a
	// zone count as cold after its evacuation: their next reports tell.
	returnHeartbeats = 2
	// longWait is the wait of the other watches, which end when the link is lost.
	// It is below the longest wait that the store takes, 30 s.
	longWait = 25 * time.Second
	// daemonGather is the pause between two readings of the list of daemons,
	// which changes at each start of an instance.
	daemonGather = 2 * time.Second
	// replicaGather is the pause between two readings of the changes of
	// replicas, which come in groups.
	replicaGather = 500 * time.Millisecond
)

// follow adds the controllers that follow the store, and the relay between
// instances.
func (d *Daemon) follow(source net.IP) {
	s := d.settings.Load()
	sink := follow.NewReplicaSink(d.logger, d.catalog, d.link)
	config := follow.NewFollower(d.logger, "configuration", d.link, d.store.Config(),
		follow.ConfigSink{Logger: d.logger, Store: d.catalog, Name: platform.ConfigName}, follow.WatchWait(s.Contact), 0)
	replicas := follow.NewFollower(d.logger, "replicas", d.link, d.store.Replicas(), sink, longWait, replicaGather)
	evacuations := follow.NewFollower(d.logger, "evacuations", d.link, d.store.Evacuations(),
		follow.NewZoneSink(d.logger, d.catalog), longWait, 0)
	daemons := follow.NewFollower(d.logger, "daemons", d.link, d.store.Daemons(),
		follow.NewDaemonSink(d.logger, d.catalog, s.Name), longWait, daemonGather)
	d.conns = peer.NewConns(d.logger, source)
	relay := follow.NewRelay(d.logger, d.link,
		&peers{name: s.Name, zone: s.Zone, address: s.PeerListen, seeds: s.Seeds, catalog: d.catalog, conns: d.conns},
		follow.MaxAge(s.Contact),
		config, replicas, evacuations, daemons)
	d.peers = peer.NewServer(d.logger, s.PeerListen, peerService{relay})
	d.runners = append(d.runners, sink.Run, config.Run, replicas.Run, evacuations.Run, relay.Run, d.peers.Run,
		func(ctx context.Context) error {
			follow.Register(ctx, d.logger, d.link, d.store, s.Name, catalog.Daemon{Address: s.PeerListen, Zone: s.Zone})
			return daemons.Run(ctx)
		},
	)
}

// Run serves until stop ends and then shuts down gracefully. force cuts the
// shutdown short.
func (d *Daemon) Run(stop, force context.Context) error {
	s := d.settings.Load()
	d.logger.Info().Str("event", "start").Str("zone", s.Zone).Str("region", s.Region).
		Str("callers", s.CallerListen).Str("platform", s.PlatformAddress).Msg("instance starts")
	err := lifecycle.Run(stop, force, d.runners, d.shutdown)
	d.conns.Close()
	d.pool.Close()
	d.store.Close()
	return errs.Combine(err, d.metrics.Close())
}

// isReady reports whether the balancer may send callers here.
func (d *Daemon) isReady() bool {
	snap := d.catalog.Load()
	ready := snap.Config != nil && snap.ReplicasKnown && !d.stopping.Load()
	if d.wasReady.Swap(ready) != ready {
		d.logger.Info().Str("event", "ready").Bool("ready", ready).Int("replicas", snap.Count()).Msg("readiness changed")
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

// upkeepInterval is how often the clients of replicas are brought in line with
// the catalog: well below the seconds between the start of a replica and its
// first request.
const upkeepInterval = 100 * time.Millisecond

// keepWarmTicks is the number of upkeep intervals after which connections that
// replicas have closed are opened again. They close those that were idle for
// seconds.
const keepWarmTicks = 10

// upkeep opens connections to new replicas and closes those of replicas that
// have gone.
func (d *Daemon) upkeep(ctx context.Context) error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	var seen *catalog.Snapshot
	for n := 0; ; n++ {
		if n%keepWarmTicks == 0 {
			d.forwarder.KeepWarm()
		}
		if snap := d.catalog.Load(); snap != seen {
			seen = snap
			d.pool.Retain(snap)
			d.forwarder.Prepare()
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
	doc := status.Edge{
		Instance: d.settings.Load().Name, Zone: d.settings.Load().Zone, Ready: d.isReady(), StoreLost: d.link.Lost(),
		Evacuated: snap.Evacuated(), Daemons: snap.Daemons, InFlight: d.forwarder.InFlight(), Replicas: d.pool.Reports(time.Now()),
	}
	if snap.Config != nil {
		doc.ConfigVersion = snap.Config.Version
	}
	return doc
}
