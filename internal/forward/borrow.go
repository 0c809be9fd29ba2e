package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/lifecycle"
	"github.com/baobabsill/baobabsill/internal/replica"
)

const (
	// borrowInterval is the pause between two requests for loans. It is well below the
	// time after which refused callers come back.
	borrowInterval = 100 * time.Millisecond
	// borrowTimeout bounds one such request: several round trips between regions.
	borrowTimeout = 400 * time.Millisecond
	// maxReplicasPerLoan bounds the replicas for which one request asks.
	maxReplicasPerLoan = 64
)

// Lenders asks other instances for requests that they may send to limited replicas.
type Lenders interface {
	BorrowTokens(ctx context.Context, instance string, requests []replica.LoanRequest) ([]replica.Loan, error)
}

// RunBorrowing borrows from other instances while rate limits deny requests, until ctx
// ends. Traffic is uneven and shares are equal, so that some instances have tokens left
// while others refuse callers.
func (f *Forwarder) RunBorrowing(ctx context.Context, lenders Lenders) error {
	return lifecycle.Every(ctx, borrowInterval, func(now time.Time) { f.borrow(ctx, lenders, now) })
}

// borrow asks one instance, which has a share of a replica whose limit denies requests.
func (f *Forwarder) borrow(ctx context.Context, lenders Lenders, now time.Time) {
	requests := f.pool.LoanRequests(now)
	if len(requests) == 0 {
		return
	}
	rand.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	lender := f.lender(requests[0].Incarnation)
	if lender == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loans, err := lenders.BorrowTokens(ctx, lender, requests[:min(len(requests), maxReplicasPerLoan)])
	if err != nil {
		f.logger.Info().Str("event", "peer silent").Str("peer", lender).Err(err).Msg("instance did not answer a request for a loan")
		return
	}
	for _, loan := range loans {
		f.pool.AddLoan(time.Now(), loan)
	}
}

// lender returns one of the other instances that have a share of a replica's limit, or
// "" if there is none.
func (f *Forwarder) lender(i replica.Incarnation) string {
	view := f.currentView()
	r, listed := view.snap.Replica(i.ID)
	if !listed {
		return ""
	}
	by := view.sendersOf(r.Service)
	names := by.order(view, r)
	names = names[:min(f.pool.ShareHolders(i, by.number(view, r)), len(names))]
	names = slices.DeleteFunc(names, func(name string) bool { return name == view.options.Shares.Self })
	if len(names) == 0 {
		return ""
	}
	return names[rand.IntN(len(names))]
}

// Lend answers a request of another instance for loans.
func (f *Forwarder) Lend(requests []replica.LoanRequest) (loans []replica.Loan) {
	view, now := f.currentView(), time.Now()
	if view.snap.Config == nil {
		return nil // it has no share of any limit yet
	}
	for _, request := range requests[:min(len(requests), maxReplicasPerLoan)] {
		r, listed := view.snap.Replica(request.ID)
		if !listed {
			continue
		}
		if loan := f.pool.Lend(now, request, view.rateShare(r)); loan.Tokens > 0 || loan.Lifted {
			f.metrics.loans.Inc(1)
			loans = append(loans, loan)
		}
	}
	return loans
}
