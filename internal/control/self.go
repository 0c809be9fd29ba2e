// Package control maintains the view that an instance has of the rest of the
// system: the other instances, the configuration, the targets, and the age of
// this view.
package control

import (
	"slices"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Self describes the local instance. Seeds are the peer addresses of instances
// that it contacts before it knows any other.
type Self struct {
	Name, Incarnation, Zone    string
	PeerAddress, CallerAddress string
	Seeds                      []string
}

// States of an instance, in the order in which an incarnation passes through
// them.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	// StateStopping means that the instance no longer serves sub-requests. Peers
	// are told, because a call that breaks leaves its outcome unknown.
	StateStopping = "stopping"
)

// isLater reports whether state next comes after state old.
func isLater(old, next string) bool {
	order := []string{StateStarting, StateReady, StateDraining, StateStopping}
	return slices.Index(order, next) > slices.Index(order, old)
}

// isLeaving reports whether an incarnation in this state has begun to
// stop and never becomes ready again.
func isLeaving(s string) bool { return s == StateDraining || s == StateStopping }

// Peers provides the client for the peer at an address.
type Peers interface {
	Client(address string) peerpb.Peer
}
