package once

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// settleTimeout bounds the writes with which a claim ends.
const settleTimeout = 5 * time.Second

// runClaimed runs the request if this process can create the record of its
// key, or else returns the outcome that the record leads to.
//
// Without the record the result is Unknown even though this process sends
// nothing: an earlier submission of the same key may have run at an instance
// that cannot be asked. Only the owner of the claim may say NotRun.
func (m *Manager) runClaimed(ctx context.Context, req Request) outcome.Result {
	if ctx.Err() != nil {
		return outcome.Uncertain(outcome.ReasonExpired)
	}
	if !m.start() {
		return outcome.Uncertain(outcome.ReasonDraining)
	}
	defer m.running.Done()
	e, created, full := m.claimed.begin(req.Key, digest(req.Operation, req.Body), time.Now())
	if full {
		return outcome.Uncertain(outcome.ReasonOverload)
	}
	if !created {
		return wait(ctx, e, digest(req.Operation, req.Body))
	}
	res, own := m.claimAndSend(ctx, req)
	if own {
		m.claimed.finish(req.Key, e, res)
	} else {
		m.claimed.forget(req.Key, e, res)
	}
	return res
}

// maxClaimTries bounds how often a claim is tried again after the record
// changed between two calls.
const maxClaimTries = 3

// claimAndSend claims the key and sends the request if that succeeded. own is
// false if the record belongs to another process.
func (m *Manager) claimAndSend(ctx context.Context, req Request) (res outcome.Result, own bool) {
	r := record{
		Token: randomToken(), Instance: m.self.Name, Incarnation: m.self.Incarnation,
		Operation: req.Operation, Digest: digest(req.Operation, req.Body),
		State: stateClaimed, CreatedUnixMs: time.Now().UnixMilli(),
	}
	var ifVersion int64
	for range maxClaimTries {
		version, err := m.claim(ctx, req.Key, r, ifVersion)
		if err == nil {
			res = m.send(ctx, req)
			m.settleLater(req.Key, r, version, res)
			return res, true
		}
		if !platform.ErrConflict.Has(err) {
			return outcome.Uncertain(outcome.ReasonCutOff), false
		}
		stored, err := m.readRecord(ctx, req.Key)
		switch {
		case platform.ErrNotFound.Has(err):
			ifVersion = 0
			continue
		case err != nil:
			return outcome.Uncertain(outcome.ReasonCutOff), false
		}
		res, released := m.resolve(ctx, req, stored)
		if !released {
			return res, false
		}
		ifVersion = stored.version
	}
	return outcome.Uncertain(outcome.ReasonInProgress), false
}

// claim writes the record and settles a lost answer by reading it again.
func (m *Manager) claim(ctx context.Context, key string, r record, ifVersion int64) (int64, error) {
	version, err := m.writeRecord(ctx, key, r, ifVersion)
	if platform.ErrUnknown.Has(err) {
		return m.confirmClaim(ctx, key, r)
	}
	return version, err
}

// confirmClaim re-reads a record whose write was not answered.
func (m *Manager) confirmClaim(ctx context.Context, key string, r record) (int64, error) {
	stored, err := m.readRecord(ctx, key)
	if err != nil {
		return 0, err
	}
	if stored.Token != r.Token {
		return 0, platform.ErrConflict.New("key %q is claimed by %s", key, stored.Instance)
	}
	return stored.version, nil
}

// resolve returns the outcome that the record of another claim leads to.
// released is true if the claiming process lives and will not send the
// request: its claim may be replaced, and the conditional update lets only
// one process do so.
func (m *Manager) resolve(ctx context.Context, req Request, stored storedRecord) (res outcome.Result, released bool) {
	if stored.Digest != digest(req.Operation, req.Body) {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonKeyReused}, false
	}
	if stored.State != stateClaimed {
		return stored.result(), false
	}
	// The claimer may have evicted its entry of a key this old.
	if time.Since(time.UnixMilli(stored.CreatedUnixMs)) > KeyLifetime {
		return outcome.Uncertain(outcome.ReasonExpired), false
	}
	if m.isSelf(stored.Instance, stored.Incarnation) {
		// The caller of resolve owns the only entry of the key, so an earlier
		// claim of this process ended without a run.
		return outcome.Result{}, true
	}
	res = m.askClaimer(ctx, req.Key, req.ID, stored.record)
	return res, res.Code == outcome.NotRun || res.Reason == outcome.ReasonNotFound
}

// askClaimer asks the process that claimed the key for its outcome, which
// that process alone knows until it has updated the record.
func (m *Manager) askClaimer(ctx context.Context, key, requestID string, r record) outcome.Result {
	claimer, ok := m.instance(r.Instance, r.Incarnation)
	if !ok {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	req := &peerpb.RunOnceRequest{Key: key, SettleOnly: true, RequestId: requestID}
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineUnixMs = deadline.UnixMilli()
	}
	reply, err := m.peers.RunOnce(ctx, claimer, req)
	if err != nil {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	return replyResult(reply)
}

// settleLater brings the record to its final state: done, unknown, or removed
// if no target ran the request. Until then the table of this process answers.
func (m *Manager) settleLater(key string, r record, version int64, res outcome.Result) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := m.settle(ctx, key, r, version, res); err != nil {
			m.logger.Warn().Str("event", "once_settle").Str("key", key).Err(err).
				Msg("record not brought to its final state")
		}
	}()
}

func (m *Manager) settle(ctx context.Context, key string, r record, version int64, res outcome.Result) error {
	const retryInterval = 200 * time.Millisecond
	for {
		var err error
		if res.Code == outcome.NotRun {
			err = m.records.Delete(ctx, RecordKind, key, version)
		} else {
			_, err = m.writeRecord(ctx, key, r.withResult(res), version)
		}
		// A conflict means that an earlier try took effect or that this
		// process claimed the released key anew.
		if err == nil || platform.ErrConflict.Has(err) || platform.ErrNotFound.Has(err) {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}
