package replica

import (
	"math"
	"time"
)

const (
	// An instance is short of tokens, so that it borrows and does not lend, if it has
	// denied denialsToBorrow requests within denialWindow: only then will it probably use
	// a loan before it lapses.
	denialsToBorrow = 3
	denialWindow    = time.Second
	// loanLapse is how long borrowed tokens can be used. Tokens that are kept would add
	// up over many borrowers.
	loanLapse = 500 * time.Millisecond
	// maxLoan bounds the tokens that an instance holds on loan for one replica.
	maxLoan = 2
	// liftedCheckInterval is how often an instance that is not short of tokens asks
	// whether the limit was lifted.
	liftedCheckInterval = time.Second
	// liftedLapse is how long the permission holds to send to a replica whose limit
	// another instance has seen lifted.
	liftedLapse = 10 * time.Second
)

// Incarnation names one start of a replica.
type Incarnation struct {
	ID        string
	StartedAt int64 // as in catalog.Replica
}

// LoanRequest asks another instance for requests that may be sent to a replica.
type LoanRequest struct {
	Incarnation
	// LiftedOnly is set if the request only asks whether the limit was lifted.
	LiftedOnly bool
}

// Loan is a number of requests to a replica that one instance may send in place of
// another.
type Loan struct {
	Incarnation
	Tokens float64
	// Lifted is set if the lender has had an answer that lifted the limit.
	Lifted bool
}

// LoanRequests returns the requests for the replicas whose rate limit has lately denied
// requests of callers.
func (p *Pool) LoanRequests(now time.Time) (list []LoanRequest) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, b := range p.backends {
		if !b.Limited() {
			continue
		}
		if liftedOnly, due := b.loanRequest(now); due {
			list = append(list, LoanRequest{Incarnation{b.ID, b.startedAt}, liftedOnly})
		}
	}
	return list
}

func (b *Backend) loanRequest(now time.Time) (liftedOnly, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.rateLimit
	if l.isShort(now) {
		return false, true
	}
	if now.Sub(l.denials[0]) > denialWindow || now.Sub(l.askedAt) < liftedCheckInterval {
		return false, false
	}
	l.askedAt = now
	return true, true
}

// noteDenial records that a request was denied.
func (l *rateLimit) noteDenial(now time.Time) {
	copy(l.denials[1:], l.denials[:])
	l.denials[0] = now
}

func (l *rateLimit) isShort(now time.Time) bool {
	return now.Sub(l.denials[denialsToBorrow-1]) <= denialWindow
}

// Lend takes tokens of a replica out of this instance's bucket, so that another instance
// may use them. It lends whole ones, as parts of one would lapse unused, and none if
// this instance is short of tokens itself.
func (p *Pool) Lend(now time.Time, r LoanRequest, share RateShare) Loan {
	loan := Loan{Incarnation: r.Incarnation}
	b := p.find(r.Incarnation)
	if b == nil {
		return loan
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.rateLimit
	loan.Lifted = !l.named && !l.namedAt.IsZero()
	if !l.named || r.LiftedOnly || l.isShort(now) {
		return loan
	}
	perSecond, size := l.bucket(share)
	l.refill(now, perSecond, size)
	loan.Tokens = math.Floor(min(l.tokens, maxLoan))
	l.tokens -= loan.Tokens
	return loan
}

// AddLoan adds what another instance has lent. If the limit was lifted, the next answer
// of the replica has to tell: one request may be sent.
func (p *Pool) AddLoan(now time.Time, loan Loan) {
	b := p.find(loan.Incarnation)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.rateLimit
	if now.After(l.lapsesAt) {
		l.borrowed = 0
	}
	switch {
	case loan.Lifted:
		l.borrowed, l.lapsesAt = 1, now.Add(liftedLapse)
	case loan.Tokens > 0: // false for NaN
		l.borrowed, l.lapsesAt = min(l.borrowed+loan.Tokens, maxLoan), now.Add(loanLapse)
	}
}

// find returns the Backend of an incarnation, or nil.
func (p *Pool) find(i Incarnation) *Backend {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if b := p.backends[i.ID]; b != nil && b.startedAt == i.StartedAt {
		return b
	}
	return nil
}

// ShareHolders returns how many of the instances that send to a limited replica have a
// share of its limit; 0 if it has named none.
func (p *Pool) ShareHolders(i Incarnation, senders int) int {
	b := p.find(i)
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.rateLimit.named {
		return 0
	}
	return b.rateLimit.holders(senders)
}
