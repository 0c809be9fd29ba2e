package once

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// finalizeTimeout limits the time for bringing the record of a claim to its
// final state, including retries.
const finalizeTimeout = 5 * time.Second

// runClaimed runs the request if this process can claim its key by creating
// the record at the platform. Otherwise it returns the outcome that follows
// from the existing record.
//
// If the record can neither be created nor read, the result is Unknown although
// this process sends nothing: an earlier submission of the same key may have
// run at an instance that cannot be reached. Only the owner of the claim may
// return NotRun.
func (m *Manager) runClaimed(ctx context.Context, req Request) outcome.Result {
	if ctx.Err() != nil {
		return outcome.Uncertain(outcome.ReasonExpired)
	}
	if !m.beginRun() {
		return outcome.Uncertain(outcome.ReasonDraining)
	}
	defer m.pending.Done()
	e, created, full := m.claimed.getOrCreate(req.Key, requestDigest(req.Operation, req.Body), time.Now())
	if full {
		return outcome.Uncertain(outcome.ReasonOverload)
	}
	if !created {
		return awaitResult(ctx, e, requestDigest(req.Operation, req.Body))
	}
	res, owned := m.claimAndSend(ctx, req)
	if owned {
		m.claimed.publishResult(req.Key, e, res)
	} else {
		m.claimed.publishAndRemove(req.Key, e, res)
	}
	return res
}

// maxClaimTries limits the writes of one claim. The claim is written again if
// the conflicting record was deleted or its claim was released.
const maxClaimTries = 3

// claimAndSend claims the key and, if that succeeds, sends the request. owned
// is false if this process did not get the claim.
func (m *Manager) claimAndSend(ctx context.Context, req Request) (res outcome.Result, owned bool) {
	r := record{
		Token: randomToken(), Instance: m.self.Name, Incarnation: m.self.Incarnation,
		Operation: req.Operation, Digest: requestDigest(req.Operation, req.Body),
		State: stateClaimed, CreatedUnixMs: time.Now().UnixMilli(),
	}
	var ifVersion int64
	for range maxClaimTries {
		version, err := m.claim(ctx, req.Key, r, ifVersion)
		if err == nil {
			res = m.send(ctx, req)
			m.finalizeRecordAsync(req.Key, r, version, res)
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
		res, released := m.resolveConflict(ctx, req, stored)
		if !released {
			return res, false
		}
		ifVersion = stored.version
	}
	return outcome.Uncertain(outcome.ReasonInProgress), false
}

// claim writes the record and returns its version. If the platform's answer is
// lost, it reads the record to find out whether the write took effect.
func (m *Manager) claim(ctx context.Context, key string, r record, ifVersion int64) (int64, error) {
	version, err := m.writeRecord(ctx, key, r, ifVersion)
	if platform.ErrOutcomeUnknown.Has(err) {
		return m.confirmClaim(ctx, key, r)
	}
	return version, err
}

// confirmClaim reads a record whose write was not answered. The token shows
// whether the record is the one that this process wrote.
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

// resolveConflict returns the outcome that follows from the record of another
// claim. released is true if the claiming process answered that it will not
// send the request, or if the claim is an earlier one of this process: the
// claim may then be replaced, and the conditional update lets only one process
// do so.
func (m *Manager) resolveConflict(ctx context.Context, req Request, stored storedRecord) (res outcome.Result, released bool) {
	if stored.Digest != requestDigest(req.Operation, req.Body) {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonKeyReused}, false
	}
	if stored.State != stateClaimed {
		return stored.result(), false
	}
	// The claiming process may have evicted its entry of a key this old.
	if time.Since(time.UnixMilli(stored.CreatedUnixMs)) > KeyLifetime {
		return outcome.Uncertain(outcome.ReasonExpired), false
	}
	if m.isSelf(stored.Instance, stored.Incarnation) {
		// The current call owns the only table entry of the key, so an earlier
		// claim of this process ended without running the request.
		return outcome.Result{}, true
	}
	res = m.askClaimer(ctx, req.Key, req.ID, stored.record)
	return res, res.Code == outcome.NotRun || res.Reason == outcome.ReasonNotFound
}

// askClaimer asks the process that claimed the key for the outcome, which only
// that process knows until it has updated the record.
func (m *Manager) askClaimer(ctx context.Context, key, requestID string, r record) outcome.Result {
	claimer, ok := m.findInstance(r.Instance, r.Incarnation)
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
	return resultFromReply(reply)
}

// finalizeRecordAsync brings the record to its final state in the background:
// done, unknown, or deleted if no target ran the request. Until then other
// instances get the outcome from the table of this process.
func (m *Manager) finalizeRecordAsync(key string, r record, version int64, res outcome.Result) {
	m.pending.Add(1)
	go func() {
		defer m.pending.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finalizeTimeout)
		defer cancel()
		if err := m.finalizeRecord(ctx, key, r, version, res); err != nil {
			m.logger.Warn().Str("event", "once_settle").Str("key", key).Err(err).
				Msg("record not brought to its final state")
		}
	}()
}

// finalizeRecord retries the write until it took effect or ctx ends.
func (m *Manager) finalizeRecord(ctx context.Context, key string, r record, version int64, res outcome.Result) error {
	const retryInterval = 200 * time.Millisecond
	for {
		var err error
		if res.Code == outcome.NotRun {
			err = m.records.Delete(ctx, RecordKind, key, version)
		} else {
			_, err = m.writeRecord(ctx, key, r.withResult(res), version)
		}
		// A conflict means that an earlier write took effect although its
		// answer was lost, or that the released key has been claimed again.
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
