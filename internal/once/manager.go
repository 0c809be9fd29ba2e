// Package once runs non-idempotent requests at most once.
//
// Each request has a key. If the caller chose the key, only the process that
// creates the record once/<key> at the platform (the claim) may send the
// request. An issued key names the process that issued it; only that process
// may send the request, and it does not need the platform for this. Once that
// process has shut down cleanly, its keys are claimed at the platform like those
// of callers. A process sends the request of a key at most once and never takes
// over a claim whose owner may still send, so a paused, cut off or replaced
// sender cannot cause a second run.
package once

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Error is the class of this package's errors.
var Error = errs.Class("once")

// Sender sends a request to one target after another until one may have run
// it. The result is NotRun only if no target has run it or can still run it.
type Sender interface {
	ExecuteOnce(ctx context.Context, requestID string, op declare.Operation, body []byte, deadline time.Time) outcome.Result
}

// Peers sends requests and queries to the instance that a key or record names.
type Peers interface {
	RunOnce(ctx context.Context, instance state.Instance, req *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error)
}

// Request is one non-idempotent request of a caller.
type Request struct {
	ID        string
	Key       string
	Operation string
	Body      []byte
	Deadline  time.Time
}

// Self identifies the local process.
type Self struct {
	Name        string
	Incarnation string
}

// Manager decides whether the request of a key may run and which process runs
// it. It is safe for concurrent use. After Close it refuses all requests.
type Manager struct {
	logger  *log.Logger
	self    Self
	store   *state.Store
	records Records
	sender  Sender
	peers   Peers

	issued  table // requests of keys that this process issued
	claimed table // requests that this process claims at the platform

	mu      sync.Mutex
	closing bool           // guarded by mu
	pending sync.WaitGroup // running requests and record updates
}

// NewManager returns a Manager for the local process.
func NewManager(logger *log.Logger, self Self, store *state.Store, records Records, sender Sender, peers Peers) *Manager {
	return &Manager{
		logger: logger, self: self, store: store, records: records, sender: sender, peers: peers,
		issued:  table{entries: map[string]*entry{}},
		claimed: table{entries: map[string]*entry{}},
	}
}

// IssueKey returns a new key of this process. It returns false once Close has
// been called.
func (m *Manager) IssueKey() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return "", false
	}
	return IssuedKey{
		Instance: m.self.Name, Incarnation: m.self.Incarnation,
		IssuedAt: time.Now(), Nonce: randomToken(),
	}.String(), true
}

// Run runs the request at most once and returns its outcome. A resend of the
// same request gets the outcome of the first submission.
//
// Cancelling ctx does not cancel the request, since its outcome would then be
// unknown; only the deadline of the request ends it.
func (m *Manager) Run(ctx context.Context, req Request) outcome.Result {
	if err := CheckKey(req.Key); err != nil {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonMalformed}
	}
	if _, ok := m.store.Load().Operation(req.Operation); !ok {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonNotFound}
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	defer cancel()
	var res outcome.Result
	if key, ok := parseIssuedKey(req.Key); ok {
		res = m.runIssued(ctx, key, req)
	} else {
		res = m.runClaimed(ctx, req)
	}
	m.logOutcome(req, res)
	return res
}

// beginRun registers a run that Close waits for; the caller must call
// pending.Done. It returns false once Close has been called.
func (m *Manager) beginRun() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return false
	}
	m.pending.Add(1)
	return true
}

// send passes the request to the sender. It is called at most once per table
// entry, by the call that created the entry.
func (m *Manager) send(ctx context.Context, req Request) outcome.Result {
	op, ok := m.store.Load().Operation(req.Operation)
	if !ok {
		return outcome.Refused(outcome.ReasonNotFound)
	}
	return m.sender.ExecuteOnce(ctx, req.ID, op, req.Body, req.Deadline)
}

// awaitResult returns the result of an entry, or Unknown if ctx ends first. A
// digest other than the entry's means that the key was reused for another
// request; an empty digest skips this check.
func awaitResult(ctx context.Context, e *entry, digest string) outcome.Result {
	if digest != "" && e.digest != digest {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonKeyReused}
	}
	select {
	case <-e.done:
		return e.result
	default:
	}
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
		return outcome.Uncertain(outcome.ReasonInProgress)
	}
}

func (m *Manager) logOutcome(req Request, res outcome.Result) {
	m.logger.Info().Str("event", "once").Str("request_id", req.ID).Str("key", req.Key).
		Str("operation", req.Operation).Str("outcome", string(res.Code)).
		Str("reason", string(res.Reason)).Msg("at-most-once request")
}
