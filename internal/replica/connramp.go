package replica

import "time"

const (
	// initialConnectBackoff and maxConnectBackoff bound the pause after the replica
	// refused or reset a new connection. The pause doubles with each further
	// failure. A replica that is full may have room only after some seconds, when
	// it drops the connections of a machine that lost power.
	initialConnectBackoff = 250 * time.Millisecond
	maxConnectBackoff     = 2 * time.Second
)

// connRamp limits how many connections to a replica may be in use. The limit
// grows by one for each new connection that the replica accepts without a reset:
// the replica may still hold connections of an earlier process of this instance,
// or of instances that this one does not know yet, and then has less room than
// this instance's share. backoff is 0 after a success. The Backend's lock guards
// all fields.
type connRamp struct {
	established int // connections that the replica accepted without a reset
	inProgress  bool
	backoff     time.Duration
	notBefore   time.Time // earliest time to open the next one
}

// limit returns how many connections may be in use, at most share.
func (r *connRamp) limit(share int) int { return min(r.established, share) }

// tryStart reports whether a connection may be opened now. If so, the caller opens
// one and calls finish; until then no other may be opened.
func (r *connRamp) tryStart(now time.Time) bool {
	if r.inProgress || now.Before(r.notBefore) {
		return false
	}
	r.inProgress = true
	return true
}

// finish records whether a connection was established. additional is false for
// one that replaces another that was closed.
func (r *connRamp) finish(now time.Time, established, additional bool) {
	r.inProgress = false
	if !established {
		r.delayNext(now)
		return
	}
	if additional {
		r.established++
	}
	r.backoff = 0
}

// recordReset lowers the limit after the replica reset a new connection that
// carried a request.
func (r *connRamp) recordReset(now time.Time) {
	r.established = max(r.established-1, 0)
	r.delayNext(now)
}

func (r *connRamp) delayNext(now time.Time) {
	r.backoff = min(max(2*r.backoff, initialConnectBackoff), maxConnectBackoff)
	r.notBefore = now.Add(r.backoff)
}
