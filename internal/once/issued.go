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

// closeWriters bounds the writes at a time with which a process records its
// issued keys, so that a stop does not use up the platform's write rate.
const closeWriters = 8

// runIssued runs the request of an issued key here, if this process issued
// it, or else at the process that did.
func (m *Manager) runIssued(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	if m.isSelf(key.Instance, key.Incarnation) {
		return m.runOwnKey(ctx, key, req)
	}
	if home, ok := m.instance(key.Instance, key.Incarnation); ok {
		reply, err := m.peers.RunOnce(ctx, home, &peerpb.RunOnceRequest{
			Key: req.Key, Operation: req.Operation, Body: req.Body,
			DeadlineUnixMs: req.Deadline.UnixMilli(), RequestId: req.ID,
		})
		if err == nil && outcome.Reason(reply.Reason) != outcome.ReasonDraining {
			return replyResult(reply)
		}
	}
	return m.runClosedKey(ctx, key, req)
}

func (m *Manager) runOwnKey(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	if e := m.issued.get(req.Key); e != nil {
		return wait(ctx, e, digest(req.Operation, req.Body))
	}
	// The entry of an old key may be evicted, so it could be a second run.
	if time.Since(key.IssuedAt) > KeyLifetime {
		return outcome.Uncertain(outcome.ReasonExpired)
	}
	if ctx.Err() != nil {
		return outcome.Refused(outcome.ReasonExpired)
	}
	if !m.start() {
		return outcome.Refused(outcome.ReasonDraining)
	}
	defer m.running.Done()
	e, created, full := m.issued.begin(req.Key, digest(req.Operation, req.Body), time.Now())
	if full {
		return outcome.Refused(outcome.ReasonOverload)
	}
	if !created {
		return wait(ctx, e, digest(req.Operation, req.Body))
	}
	res := m.send(ctx, req)
	m.issued.finish(req.Key, e, res)
	return res
}

// runClosedKey runs the request of a key whose process is gone. The closing
// object of that process says that each request it sent has a record, so
// whoever can create the record of the key may send the request.
func (m *Manager) runClosedKey(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	if time.Since(key.IssuedAt) > KeyLifetime {
		return outcome.Uncertain(outcome.ReasonExpired)
	}
	if _, err := m.records.Get(ctx, ClosedKind, key.home()); err != nil {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	return m.runClaimed(ctx, req)
}

// Close ends the manager: it refuses new requests, waits until those that run
// have ended, and records the outcomes of the issued keys, so that other
// instances can settle them. It returns ctx's error if the wait was cut.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closing = true
	m.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		m.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	return m.recordClosed(ctx)
}

// recordClosed writes the outcomes first and the closing object last: the
// object tells others that a key without a record was never sent.
func (m *Manager) recordClosed(ctx context.Context) error {
	now := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(closeWriters)
	for key, e := range m.issued.finished() {
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
	value, err := json.Marshal(closed{ClosedUnixMs: now.UnixMilli()})
	if err != nil {
		return Error.Wrap(err)
	}
	home := IssuedKey{Instance: m.self.Name, Incarnation: m.self.Incarnation}.home()
	_, err = m.records.Put(context.WithoutCancel(ctx), ClosedKind, home, value, 0)
	return err
}

func (m *Manager) isSelf(name, incarnation string) bool {
	return name == m.self.Name && incarnation == m.self.Incarnation
}

func (m *Manager) instance(name, incarnation string) (state.Instance, bool) {
	i, ok := m.store.Load().Instances[name]
	return i, ok && i.Incarnation == incarnation
}

func replyResult(r *peerpb.RunOnceReply) outcome.Result {
	return outcome.Result{Code: outcome.Code(r.Outcome), Reason: outcome.Reason(r.Reason), Body: r.Body}
}
