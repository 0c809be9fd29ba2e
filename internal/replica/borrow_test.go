package replica

import (
	"testing"
	"time"
)

// Guards against loans that add up to more than the replica accepts: what is lent leaves
// the bucket of the lender, an instance that denies requests itself lends nothing, and a
// loan that is not used lapses.
func TestLoansDoNotRaiseTheRateLimit(t *testing.T) {
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	share := RateShare{Rank: 0, Senders: 1}
	newLimited := func() (*Pool, *Backend) {
		p := newTestPool(&scriptedClient{})
		b := p.Backend(listedReplica, ConnectionLimits{MaxOpen: 100, MaxIdle: 100})
		b.connRamp.established = 100
		b.observeRateLimit(now, now, RateLimit{RateLimitNamed, 2})
		return p, b
	}
	admitted := func(b *Backend, at time.Time) (n int) {
		for ; n < 100; n++ {
			if p, _ := b.Acquire(at, Terms{Number: uint64(n), RateShare: share}); p == nil {
				break
			}
		}
		return n
	}
	request := LoanRequest{Incarnation: Incarnation{listedReplica.ID, listedReplica.StartedAt}}

	lender, lenderBackend := newLimited()
	if loan := lender.Lend(at(10), LoanRequest{Incarnation: request.Incarnation, LiftedOnly: true}, share); loan.Tokens != 0 || loan.Lifted {
		t.Errorf("%+v for a question, want nothing", loan)
	}
	loan := lender.Lend(at(10), request, share)
	if n := admitted(lenderBackend, at(10)); loan.Tokens != 2 || n != 2 {
		t.Errorf("%g tokens lent and %d requests admitted after it, want 2 and 2 of 4", loan.Tokens, n)
	}
	for range denialsToBorrow {
		admitted(lenderBackend, at(10.1))
	}
	if again := lender.Lend(at(11), request, share); again.Tokens != 0 {
		t.Errorf("%g tokens lent by an instance that denies requests", again.Tokens)
	}

	borrower, borrowerBackend := newLimited()
	borrower.AddLoan(now, loan)
	if n := admitted(borrowerBackend, now); n != 2 {
		t.Errorf("%d requests admitted with a loan of 2", n)
	}
	borrower.AddLoan(now, loan)
	if n := admitted(borrowerBackend, at(0.4)); n != 2 {
		t.Errorf("%d requests admitted with a loan of 2", n)
	}
	borrower.AddLoan(at(0.4), loan)
	if n := admitted(borrowerBackend, at(1.5)); n > 3 {
		t.Errorf("%d requests admitted after the loan has lapsed, want the own share of 1.5 s, 3", n)
	}
	restarted := Loan{Incarnation: Incarnation{listedReplica.ID, 2}, Tokens: 2}
	borrower.AddLoan(at(1.5), restarted)
	if n := admitted(borrowerBackend, at(1.5)); n != 0 {
		t.Errorf("%d requests admitted with a loan for another incarnation", n)
	}
}
