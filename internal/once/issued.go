package once

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// closeWriteConcurrency limits the concurrent writes with which a stopping
// process records the outcomes of its issued keys, so that they do not use up
// the platform's write rate.
const closeWriteConcurrency = 8

// runIssued runs the request of an issued key: locally if this process issued
// the key, otherwise at the process that did. If that process is gone, draining
// or out of reach, this process may run the request under the conditions of
// runForClosedIssuer.
func (m *Manager) runIssued(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	if m.isSelf(key.Instance, key.Incarnation) {
		return m.runLocallyIssued(ctx, key, req)
	}
	if issuer, ok := m.findInstance(key.Instance, key.Incarnation); ok {
		reply, err := m.peers.RunOnce(ctx, issuer, &peerpb.RunOnceRequest{
			Key: req.Key, Operation: req.Operation, Body: req.Body,
			DeadlineUnixMs: req.Deadline.UnixMilli(), RequestId: req.ID,
		})
		if err == nil && outcome.Reason(reply.Reason) != outcome.ReasonDraining {
			return resultFromReply(reply)
		}
	}
	return m.runForClosedIssuer(ctx, key, req)
}

// runLocallyIssued runs the request of a key that this process issued. A resend
// waits for the result of the first submission.
func (m *Manager) runLocallyIssued(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	if e := m.issued.get(req.Key); e != nil {
		return awaitResult(ctx, e, requestDigest(req.Operation, req.Body))
	}
	// The entry of a key this old may have been evicted after its request ran,
	// so running the request now could be a second run.
	if time.Since(key.IssuedAt) > KeyLifetime {
		return outcome.Uncertain(outcome.ReasonExpired)
	}
	if ctx.Err() != nil {
		return outcome.Refused(outcome.ReasonExpired)
	}
	if !m.beginRun() {
		return outcome.Refused(outcome.ReasonDraining)
	}
	defer m.pending.Done()
	e, created, full := m.issued.getOrCreate(req.Key, requestDigest(req.Operation, req.Body), time.Now())
	if full {
		return outcome.Refused(outcome.ReasonOverload)
	}
	if !created {
		return awaitResult(ctx, e, requestDigest(req.Operation, req.Body))
	}
	res := m.send(ctx, req)
	m.issued.publishResult(req.Key, e, res)
	return res
}

// runForClosedIssuer runs the request of a key whose issuing process has
// stopped. The closing object of that process guarantees that every request it
// sent has a record, so the process that creates the missing record of the key
// may send the request. Without the closing object the outcome is unknown.
func (m *Manager) runForClosedIssuer(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	if time.Since(key.IssuedAt) > KeyLifetime {
		return outcome.Uncertain(outcome.ReasonExpired)
	}
	if _, err := m.records.Get(ctx, ClosedKind, key.closingObjectName()); err != nil {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	return m.runClaimed(ctx, req)
}

// Close stops the manager: it refuses new requests, waits for running requests
// and record updates, and then records the outcomes of the issued keys so that
// other instances can look them up. If ctx ends during the wait, Close returns
// its error and records nothing.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closing = true
	m.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		m.pending.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	return m.recordIssuedOutcomes(ctx)
}

// recordIssuedOutcomes writes the outcomes first and the closing object last:
// that object tells other instances that the request of a key without a record
// was never sent.
func (m *Manager) recordIssuedOutcomes(ctx context.Context) error {
	now := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(closeWriteConcurrency)
	for key, e := range m.issued.finishedEntries() {
		group.Go(func() error {
			r := record{
				Token: randomToken(), Instance: m.self.Name, Incarnation: m.self.Incarnation,
				Digest: e.digest, CreatedUnixMs: now.UnixMilli(),
			}.withResult(e.result)
			_, err := m.writeRecord(ctx, key, r, 0)
			if platform.ErrConflict.Has(err) {
				return nil
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	value, err := json.Marshal(closingObject{ClosedUnixMs: now.UnixMilli()})
	if err != nil {
		return Error.Wrap(err)
	}
	closingObjectName := IssuedKey{Instance: m.self.Name, Incarnation: m.self.Incarnation}.closingObjectName()
	_, err = m.records.Put(context.WithoutCancel(ctx), ClosedKind, closingObjectName, value, 0)
	return err
}

func (m *Manager) isSelf(name, incarnation string) bool {
	return name == m.self.Name && incarnation == m.self.Incarnation
}

// findInstance returns the instance of that name. It returns false if the
// instance is unknown or has another incarnation.
func (m *Manager) findInstance(name, incarnation string) (state.Instance, bool) {
	i, ok := m.store.Load().Instances[name]
	return i, ok && i.Incarnation == incarnation
}

func resultFromReply(r *peerpb.RunOnceReply) outcome.Result {
	return outcome.Result{Code: outcome.Code(r.Outcome), Reason: outcome.Reason(r.Reason), Body: r.Body}
}
