// Package once runs non-idempotent requests at most once.
//
// A request has a key. With a key that the caller chose, the instance that
// creates the record once/<key> at the platform is the only one that may send
// the request. With an issued key, only the process that issued it may send
// the request, which needs no platform. A process sends the request of a key
// once and never takes over the claim of another process, so a paused, cut off
// or replaced sender cannot cause a second run.
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

// Sender sends a request to one target after the other until one may have
// run it. Its result is NotRun only if no target ran it or can run it later.
type Sender interface {
	Single(ctx context.Context, requestID string, op declare.Operation, body []byte, deadline time.Time) outcome.Result
}

// Peers forwards requests to the instance that a key or a record names.
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

// Manager decides whether and where the request of a key runs. It is safe for
// concurrent use.
type Manager struct {
	logger  *log.Logger
	self    Self
	store   *state.Store
	records Records
	sender  Sender
	peers   Peers

	issued  table // requests of keys that this process issued
	claimed table // requests that this process claimed at the platform

	mu      sync.Mutex
	closing bool
	running sync.WaitGroup
}

// NewManager returns a Manager for the local process.
func NewManager(logger *log.Logger, self Self, store *state.Store, records Records, sender Sender, peers Peers) *Manager {
	return &Manager{
		logger: logger, self: self, store: store, records: records, sender: sender, peers: peers,
		issued:  table{entries: map[string]*entry{}},
		claimed: table{entries: map[string]*entry{}},
	}
}

// IssueKey returns a key whose request only this process sends. It returns
// false while the process stops.
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
// same request gets the outcome of the first one.
//
// The request is not cancelled with ctx once it was handed to a target,
// because a cancelled request has an unknown outcome; its deadline ends it.
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
	m.logDecision(req, res)
	return res
}

// start registers a run. It returns false while the process stops, so that
// Close can wait for all runs that began before.
func (m *Manager) start() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return false
	}
	m.running.Add(1)
	return true
}

// send hands the request to the sender, at most once per process and key:
// only the creator of a table entry calls it.
func (m *Manager) send(ctx context.Context, req Request) outcome.Result {
	op, ok := m.store.Load().Operation(req.Operation)
	if !ok {
		return outcome.Refused(outcome.ReasonNotFound)
	}
	return m.sender.Single(ctx, req.ID, op, req.Body, req.Deadline)
}

// wait returns the result of an entry that this process runs or ran.
func wait(ctx context.Context, e *entry, digest string) outcome.Result {
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

func (m *Manager) logDecision(req Request, res outcome.Result) {
	m.logger.Info().Str("event", "once").Str("request_id", req.ID).Str("key", req.Key).
		Str("operation", req.Operation).Str("outcome", string(res.Code)).
		Str("reason", string(res.Reason)).Msg("at-most-once request")
}
