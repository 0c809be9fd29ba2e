// Package control keeps an instance's view of the rest of the system: the
// other instances, the configuration, the targets, and how fresh all of that
// is.
package control

import (
	"slices"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Self describes the local instance. Seeds are peer addresses to join.
type Self struct {
	Name, Incarnation, Zone    string
	PeerAddress, CallerAddress string
	Seeds                      []string
}

// States of an instance, in the order in which an incarnation takes them.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	// StateStopping says that the instance serves no sub-requests any more. Its
	// peers must not find that out by broken calls, whose outcome is unknown.
	StateStopping = "stopping"
)

// isLater reports whether an instance in state old may go on to state next.
func isLater(old, next string) bool {
	order := []string{StateStarting, StateReady, StateDraining, StateStopping}
	return slices.Index(order, next) > slices.Index(order, old)
}

// isLeaving reports whether the instance will not come back.
func isLeaving(s string) bool { return s == StateDraining || s == StateStopping }

// Peers returns the client of a peer by address.
type Peers interface {
	Client(address string) peerpb.Peer
}
