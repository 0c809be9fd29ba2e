package once

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// LookUpOutcome looks up the outcome of a key without running anything. The
// result is Unknown with reason not-found if neither a record nor the process
// that issued the key knows it; the request can then be sent with that key, and
// still runs at most once.
func (m *Manager) LookUpOutcome(ctx context.Context, key string) outcome.Result {
	if err := CheckKey(key); err != nil {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonMalformed}
	}
	if e := m.localEntry(key); e != nil {
		return awaitResult(ctx, e, "")
	}
	if k, ok := parseIssuedKey(key); ok {
		if m.isSelf(k.Instance, k.Incarnation) {
			return outcome.Uncertain(outcome.ReasonNotFound)
		}
		if issuer, ok := m.findInstance(k.Instance, k.Incarnation); ok {
			reply, err := m.peers.RunOnce(ctx, issuer, &peerpb.RunOnceRequest{Key: key, SettleOnly: true})
			if err == nil {
				return resultFromReply(reply)
			}
		}
	}
	return m.lookUpRecord(ctx, key)
}

// lookUpRecord returns the outcome in the record of the key at the platform,
// or asks the claiming process if the record has no final state yet.
func (m *Manager) lookUpRecord(ctx context.Context, key string) outcome.Result {
	stored, err := m.readRecord(ctx, key)
	switch {
	case platform.ErrNotFound.Has(err):
		return outcome.Uncertain(outcome.ReasonNotFound)
	case err != nil:
		return outcome.Uncertain(outcome.ReasonCutOff)
	case stored.State != stateClaimed:
		return stored.result()
	}
	return m.askClaimer(ctx, key, "", stored.record)
}

// ServePeer handles a request that another instance forwards to this process,
// or its query for the outcome of a key (SettleOnly).
func (m *Manager) ServePeer(ctx context.Context, req *peerpb.RunOnceRequest) *peerpb.RunOnceReply {
	var res outcome.Result
	if req.SettleOnly {
		res = m.lookUpLocal(ctx, req.Key)
	} else {
		res = m.runForwarded(ctx, req)
	}
	return &peerpb.RunOnceReply{Outcome: string(res.Code), Reason: string(res.Reason), Body: res.Body}
}

// lookUpLocal returns the outcome of a request of this process only. The reason
// not-found tells the querying instance that this process will not send the
// request under the claim in question, so that claim may be replaced.
func (m *Manager) lookUpLocal(ctx context.Context, key string) outcome.Result {
	if e := m.localEntry(key); e != nil {
		return awaitResult(ctx, e, "")
	}
	return outcome.Uncertain(outcome.ReasonNotFound)
}

// runForwarded runs a request whose key this process issued and that another
// instance received. It runs until the deadline of the request, even if that
// instance cancels the call.
func (m *Manager) runForwarded(ctx context.Context, req *peerpb.RunOnceRequest) outcome.Result {
	key, ok := parseIssuedKey(req.Key)
	if !ok || !m.isSelf(key.Instance, key.Incarnation) {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	deadline := time.UnixMilli(req.DeadlineUnixMs)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	return m.runLocallyIssued(ctx, key, Request{
		ID: req.RequestId, Key: req.Key, Operation: req.Operation, Body: req.Body, Deadline: deadline,
	})
}

func (m *Manager) localEntry(key string) *entry {
	if e := m.issued.get(key); e != nil {
		return e
	}
	return m.claimed.get(key)
}
