package forward

import (
	"math"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Shares divides the limits of a replica among the instances. Each instance
// computes its own share from the instance list, such that the sum of all shares
// stays within the limit.
type Shares struct {
	// Self is the name of this instance.
	Self string
	// ColdOverage and ColdSlack set the bound on requests to a cold replica in any
	// second, over all instances: its declared rate times ColdOverage, plus
	// ColdSlack.
	ColdOverage, ColdSlack float64
}

const (
	// assumedInstances is the number of instances until their list was read. It is
	// twice the usual size of a deployment, so that shares are rather too small
	// than too large.
	assumedInstances = 16
	// usableConnectionShare is the part of a replica's connection limit that is
	// used. The rest covers connections that are being closed.
	usableConnectionShare = 0.9
	// memberConnectionShare is the part of those that the members of a bucket share.
	memberConnectionShare = 0.8
)

// instanceCount returns the number of instances that share the replicas.
func instanceCount(snap *catalog.Snapshot) int {
	if snap.PeakInstances == 0 {
		return assumedInstances
	}
	return snap.PeakInstances
}

// usableConnections returns the connections that all instances together may open to
// a replica of a service.
func (s Shares) usableConnections(snap *catalog.Snapshot, service string) int {
	return max(int(float64(snap.Config.Services[service].MaxConnections)*usableConnectionShare), 1)
}

// connectionLimits returns the limits on the connections of this instance to a
// replica. For some seconds, a replica keeps the connections of a machine that lost
// power, so the limit on idle connections leaves room for one new connection from
// each instance.
func (s Shares) connectionLimits(snap *catalog.Snapshot, by senders, r catalog.Replica) replica.ConnectionLimits {
	if by.outsider {
		return replica.ConnectionLimits{MaxOpen: 1, MaxIdle: 1}
	}
	usable, total := float64(s.usableConnections(snap, r.Service)), float64(snap.Config.Services[r.Service].MaxConnections)
	if by.members != nil {
		// The rest is for instances that are not members, and for those that were.
		usable, total = usable*memberConnectionShare, total*memberConnectionShare
	}
	open := max(Share(usable, by.count), 1)
	idle := Share(total, by.count) - 1
	return replica.ConnectionLimits{MaxOpen: open, MaxIdle: min(max(idle, 1), open)}
}

// sendsTo reports whether this instance sends to a replica. If there are more
// instances than connections, each replica is used by the instances that rank
// first for it in rendezvous hashing.
func (s Shares) sendsTo(v *view, by senders, r catalog.Replica) bool {
	if by.members != nil || by.outsider {
		return by.self >= 0 || by.outsider
	}
	limit := s.usableConnections(v.snap, r.Service)
	return len(v.snap.InstanceNames) <= limit || v.ranks.countBefore(r.ID) < limit
}

// coldLimit returns the number of requests that this instance may send to a cold
// replica in any second. Services that declare no rate have no limit.
func (s Shares) coldLimit(snap *catalog.Snapshot, by senders, r catalog.Replica) int {
	rate := snap.Config.Services[r.Service].ColdRate
	switch {
	case rate <= 0:
		return math.MaxInt
	case by.outsider:
		return 0
	}
	return Share(rate*s.ColdOverage+s.ColdSlack, min(by.count, s.usableConnections(snap, r.Service)))
}
