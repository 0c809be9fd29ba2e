package replica

import "time"

const (
	// firstOpeningPause and maxOpeningPause bound the pause after a connection
	// that the replica did not keep. Replicas hold the connections of a machine
	// that lost its power for some seconds.
	firstOpeningPause = 250 * time.Millisecond
	maxOpeningPause   = 2 * time.Second
)

// opening decides how many connections to a replica may be in use. They grow
// one by one, as the replica keeps them, since it may hold those of an earlier
// process of this daemon, or of daemons that are not known yet.
type opening struct {
	kept   int // connections that the replica kept
	busy   bool
	pause  time.Duration
	paused time.Time // no connection is opened before
}

// limit returns the connections that may be in use, share at most.
func (o *opening) limit(share int) int { return min(o.kept, share) }

// begin reports whether a connection may be opened now.
func (o *opening) begin(now time.Time) bool {
	if o.busy || now.Before(o.paused) {
		return false
	}
	o.busy = true
	return true
}

// end records whether the replica kept a connection that was opened. more is false
// for one in place of another that was closed.
func (o *opening) end(now time.Time, kept, more bool) {
	o.busy = false
	if !kept {
		o.back(now)
		return
	}
	if more {
		o.kept++
	}
	o.pause = 0
}

// refused records that the replica reset a new connection that carried a
// request.
func (o *opening) refused(now time.Time) {
	o.kept = max(o.kept-1, 0)
	o.back(now)
}

func (o *opening) back(now time.Time) {
	o.pause = min(max(2*o.pause, firstOpeningPause), maxOpeningPause)
	o.paused = now.Add(o.pause)
}
