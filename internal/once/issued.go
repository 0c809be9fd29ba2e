package once

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

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

// runClosedKey runs the request of a key whose process is gone. It runs only
// if that process stopped gracefully and recorded that it never sent the
// request; whoever creates the record of the key then sends it.
func (m *Manager) runClosedKey(ctx context.Context, key IssuedKey, req Request) outcome.Result {
	c, err := m.readClosed(ctx, key)
	if err != nil {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	if slices.Contains(c.Used, key.Nonce) || time.Since(key.IssuedAt) > KeyUseWindow {
		stored, err := m.readRecord(ctx, req.Key)
		if err != nil {
			return outcome.Uncertain(outcome.ReasonSenderGone)
		}
		res, _ := m.resolve(ctx, req, stored)
		return res
	}
	return m.runClaimed(ctx, req)
}

func (m *Manager) readClosed(ctx context.Context, key IssuedKey) (closed, error) {
	obj, err := m.records.Get(ctx, ClosedKind, key.home())
	if err != nil {
		return closed{}, err
	}
	var c closed
	if err := json.Unmarshal(obj.Value, &c); err != nil {
		return closed{}, Error.Wrap(err)
	}
	return c, nil
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

// recordClosed writes the outcomes first and the closing object last, so that
// a closing object never stands without the outcomes that it refers to.
func (m *Manager) recordClosed(ctx context.Context) error {
	now := time.Now()
	c := closed{ClosedUnixMs: now.UnixMilli(), Used: []string{}}
	for name, e := range m.issued.finished() {
		key, ok := parseIssuedKey(name)
		if !ok {
			continue
		}
		if now.Sub(key.IssuedAt) <= KeyUseWindow {
			c.Used = append(c.Used, key.Nonce)
		}
		r := record{
			Token: key.Nonce, Instance: m.self.Name, Incarnation: m.self.Incarnation,
			Digest: e.digest, CreatedUnixMs: now.UnixMilli(),
		}.withResult(e.result)
		if _, err := m.writeRecord(ctx, name, r, 0); err != nil && !platform.ErrConflict.Has(err) {
			return err
		}
	}
	slices.Sort(c.Used)
	value, err := json.Marshal(c)
	if err != nil {
		return Error.Wrap(err)
	}
	home := IssuedKey{Instance: m.self.Name, Incarnation: m.self.Incarnation}.home()
	_, err = m.records.Put(ctx, ClosedKind, home, value, 0)
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
