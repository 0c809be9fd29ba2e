package catalog

import "time"

// Replica is one incarnation of a replica as the platform lists it.
type Replica struct {
	ID       string
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int
	Draining bool
	// Born is the start of the incarnation in Unix milliseconds. An ID may
	// start again with a later Born.
	Born int64
	// Sequence grows with each report of one incarnation.
	Sequence int64
	// WarmupLeft is how long the replica stays cold, counted from the report.
	WarmupLeft time.Duration
	// ColdUntil is WarmupLeft on this process's clock.
	ColdUntil time.Time
}

// IsCold reports whether the replica is in its cold start.
func (r Replica) IsCold(now time.Time) bool { return now.Before(r.ColdUntil) }

// supersedes reports whether the report is newer than an earlier one with the
// same ID. Reports may arrive late, from an earlier incarnation too.
func (r Replica) supersedes(old Replica) bool {
	if r.Born != old.Born {
		return r.Born > old.Born
	}
	return r.Sequence >= old.Sequence
}

// merge returns the state after a report. An incarnation that drains does not
// become ready again.
func (r Replica) merge(report Replica) Replica {
	if !report.supersedes(r) {
		return r
	}
	if report.Born != r.Born {
		return report
	}
	if r.Draining {
		report.Draining = true
	}
	if report.WarmupLeft < r.WarmupLeft && r.ColdUntil.Before(report.ColdUntil) {
		// Each report of one cold start bounds its end from above; the one that
		// arrived fastest bounds it best.
		report.ColdUntil = r.ColdUntil
	}
	return report
}
