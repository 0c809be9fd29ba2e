package catalog

import "time"

// Replica is the state of one replica, as last reported by the platform. It is cold
// until ColdUntil, then warm; once Draining, it stays so until it starts again.
type Replica struct {
	ID       string
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int
	Draining bool
	// StartedAt is the start time of the incarnation in Unix milliseconds. If the
	// replica restarts, it keeps its ID and has a later start time.
	StartedAt int64
	// Sequence increases with each report of one incarnation.
	Sequence int64
	// WarmupLeft is how long the replica stays cold, counted from its report.
	WarmupLeft time.Duration
	// ColdUntil is the end of WarmupLeft on the clock of this process.
	ColdUntil time.Time
}

// IsCold reports whether the replica may get only few requests.
func (r Replica) IsCold(now time.Time) bool { return now.Before(r.ColdUntil) }

// supersedes reports whether a report is at least as new as another one with the
// same ID. Reports may arrive out of order, also from an earlier incarnation.
func (r Replica) supersedes(old Replica) bool {
	if r.StartedAt != old.StartedAt {
		return r.StartedAt > old.StartedAt
	}
	return r.Sequence >= old.Sequence
}

// merge returns the state after a report. Draining is permanent for an incarnation,
// whatever later reports say.
func (r Replica) merge(report Replica) Replica {
	if !report.supersedes(r) {
		return r
	}
	if report.StartedAt != r.StartedAt {
		return report
	}
	if r.Draining {
		report.Draining = true
	}
	if report.WarmupLeft < r.WarmupLeft && r.ColdUntil.Before(report.ColdUntil) {
		// The delay of a report makes its ColdUntil too late, never too early. Of
		// the reports of one cold start, the earliest ColdUntil is the best.
		report.ColdUntil = r.ColdUntil
	}
	return report
}
