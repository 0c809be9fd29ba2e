package forward

import (
	"math"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Shares divides the limits of a replica among the daemons. Each daemon works
// out its own share from the list of daemons, so that the sum keeps the limit.
type Shares struct {
	// Self is the name of this daemon.
	Self string
	// ColdOverage and ColdSlack are the bound on a cold replica: its rate times
	// ColdOverage and ColdSlack more, in any second.
	ColdOverage, ColdSlack float64
}

const (
	// assumedDaemons is the number of daemons until their list was read: twice
	// the usual size of a deployment, so that shares are too small rather than
	// too large.
	assumedDaemons = 16
	// connectionShare is the part of a replica's connections that is used. The
	// rest covers connections that are being closed.
	connectionShare = 0.9
)

// daemons returns the number of daemons that share the replicas.
func daemons(snap *catalog.Snapshot) int {
	if snap.PeakDaemons == 0 {
		return assumedDaemons
	}
	return snap.PeakDaemons
}

func (s Shares) bound(snap *catalog.Snapshot, r catalog.Replica) int {
	return max(int(float64(snap.Config.Services[r.Service].MaxConnections)*connectionShare), 1)
}

// senders returns the number of daemons that send to a replica: all of them,
// or as many as it has connections for.
func (s Shares) senders(snap *catalog.Snapshot, r catalog.Replica) int {
	return min(daemons(snap), s.bound(snap, r))
}

// connections returns the bounds on the connections of this daemon to a replica.
// Replicas hold the connections of machines that lost their power for some
// seconds, so idle ones leave room for one new connection of each daemon.
func (s Shares) connections(snap *catalog.Snapshot, r catalog.Replica) replica.Connections {
	open := max(Share(float64(s.bound(snap, r)), daemons(snap)), 1)
	idle := Share(float64(snap.Config.Services[r.Service].MaxConnections), daemons(snap)) - 1
	return replica.Connections{Open: open, Idle: min(max(idle, 1), open)}
}

// admits reports whether this daemon sends to a replica. With more daemons than
// connections, each replica is used by the daemons that rank first for it in
// rendezvous order.
func (s Shares) admits(snap *catalog.Snapshot, ranks ranking, r catalog.Replica) bool {
	bound := s.bound(snap, r)
	return len(snap.Daemons) <= bound || ranks.before(r.ID) < bound
}

// coldLimit returns the requests that this daemon may send to a cold replica in
// any second. A service that declares no rate has no bound.
func (s Shares) coldLimit(snap *catalog.Snapshot, r catalog.Replica) int {
	rate := snap.Config.Services[r.Service].ColdRate
	if rate <= 0 {
		return math.MaxInt
	}
	return Share(rate*s.ColdOverage+s.ColdSlack, s.senders(snap, r))
}
