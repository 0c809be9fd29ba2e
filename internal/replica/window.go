package replica

import "time"

const (
	// lateShare is the part of an answer's latency limit beyond which the window
	// shrinks; earlyShare is the part below which it grows. The gap keeps the
	// window still at the latency between.
	lateShare, earlyShare = 0.8, 0.6
	// shrink is the factor of one step down, at most once a round of exchanges.
	shrink = 0.7
	// grow is one step up, in exchanges, after an early answer that the window
	// held back.
	grow = 0.25
	// windowMemory is the time without exchanges after which the window is open
	// again.
	windowMemory = 4 * time.Second
)

// window bounds the exchanges with one replica, so that the queue at the replica
// stays short enough for answers to be in time. A request that waits here can
// still go elsewhere, and the newest can go first. The zero value is open.
type window struct {
	limit    float64 // exchanges at once; 0 is open
	floor    float64 // this instance's share of the replica's slots
	shrunkAt time.Time
	usedAt   time.Time
	nextSend time.Time // with a limit below one
}

// size returns the limit, and a large number while the window is open.
func (w *window) size() float64 {
	if w.limit == 0 {
		return 1 << 20
	}
	return w.limit
}

// admits reports whether one more exchange may start.
func (w *window) admits(inFlight int, now time.Time) bool {
	if w.limit == 0 {
		return true
	}
	if now.Sub(w.usedAt) > windowMemory {
		w.limit = 0
		return true
	}
	return inFlight < max(int(w.limit), 1) && !now.Before(w.nextSend)
}

// record takes the latency of one exchange. inFlight counts it.
func (w *window) record(c call, took time.Duration, inFlight, connections int, now time.Time) {
	w.usedAt = now
	switch late := float64(took) / float64(c.limit); {
	case late > lateShare:
		if c.started.Before(w.shrunkAt) {
			break
		}
		if w.limit == 0 {
			w.limit = float64(inFlight)
		}
		w.limit = max(w.limit*shrink, min(w.floor, 1))
		w.shrunkAt = now
	case late < earlyShare && w.limit > 0 && float64(inFlight) >= w.limit-1:
		if w.limit += grow; w.limit >= float64(connections) {
			w.limit = 0
		}
	}
	if w.limit > 0 && w.limit < 1 {
		w.nextSend = now.Add(time.Duration((1/w.limit - 1) * float64(took)))
	}
}
