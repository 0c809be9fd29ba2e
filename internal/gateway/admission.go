package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Priority says which requests are served first under overload: those with the
// lowest value. The values are those of the peer protocol.
type Priority int32

// Priorities, highest first.
const (
	Critical Priority = 0
	Normal   Priority = 1
	Browse   Priority = 2
)

// PriorityOf returns the priority of a search. A complete search is critical
// whatever its declaration says.
func PriorityOf(s declare.Search) Priority {
	switch {
	case s.Class == declare.ClassComplete, s.Priority == declare.PriorityCritical:
		return Critical
	case s.Priority == declare.PriorityBrowse:
		return Browse
	default:
		return Normal
	}
}

// Admission bounds the requests in flight at one entry. Browse requests are
// admitted up to 70% of the bound and normal ones up to 85%, so that critical
// requests still find room when the others are refused. It is lock-free.
type Admission struct {
	limits   [3]int64 // by Priority
	inFlight atomic.Int64
}

// NewAdmission returns an Admission with max requests in flight.
func NewAdmission(max int) *Admission {
	n := int64(max)
	if n < 1 {
		n = 1
	}
	return &Admission{limits: [3]int64{n, (n*85 + 99) / 100, (n*70 + 99) / 100}}
}

// Enter reports whether a request is admitted. Each admitted request must end
// with Leave.
func (a *Admission) Enter(p Priority) bool {
	if a.inFlight.Add(1) > a.limits[p] {
		a.inFlight.Add(-1)
		return false
	}
	return true
}

// Leave ends an admitted request.
func (a *Admission) Leave() { a.inFlight.Add(-1) }

// InFlight returns the number of admitted requests.
func (a *Admission) InFlight() int { return int(a.inFlight.Load()) }

func (g *Gateway) admit(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		if !g.admission.Enter(q.Priority) {
			g.budget.RecordOverload(time.Now())
			return refused(outcome.ReasonOverload)
		}
		defer g.admission.Leave()
		return next(ctx, q)
	}
}
