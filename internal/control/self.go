// Package control keeps an instance's view of the rest of the system: the
// other instances, the configuration, the targets, and how fresh all of that
// is.
package control

import (
	"io"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Self describes the local instance. Seeds are peer addresses to join.
type Self struct {
	Name, Incarnation, Zone    string
	PeerAddress, CallerAddress string
	Seeds                      []string
}

// States of an instance. Draining is final for an incarnation.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
)

// Peers returns the client of a peer by address.
type Peers interface {
	Client(address string) peerpb.Peer
}

func orDiscard(logger *log.Logger) *log.Logger {
	if logger == nil {
		return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return logger
}
