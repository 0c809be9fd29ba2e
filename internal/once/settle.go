package once

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// Settle returns the outcome of a key without running anything. The result is
// Unknown with reason not-found if no process has claimed or run the key;
// sending the request with that key is safe then.
func (m *Manager) Settle(ctx context.Context, key string) outcome.Result {
	if err := CheckKey(key); err != nil {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonMalformed}
	}
	if e := m.localEntry(key); e != nil {
		return wait(ctx, e, "")
	}
	if k, ok := parseIssuedKey(key); ok {
		if m.isSelf(k.Instance, k.Incarnation) {
			return outcome.Uncertain(outcome.ReasonNotFound)
		}
		if home, ok := m.instance(k.Instance, k.Incarnation); ok {
			reply, err := m.peers.RunOnce(ctx, home, &peerpb.RunOnceRequest{Key: key, SettleOnly: true})
			if err == nil {
				return replyResult(reply)
			}
		}
	}
	return m.settleByRecord(ctx, key)
}

func (m *Manager) settleByRecord(ctx context.Context, key string) outcome.Result {
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

// ServePeer answers another instance that forwards a request or asks for an
// outcome.
func (m *Manager) ServePeer(ctx context.Context, req *peerpb.RunOnceRequest) *peerpb.RunOnceReply {
	var res outcome.Result
	if req.SettleOnly {
		res = m.settleLocal(ctx, req.Key)
	} else {
		res = m.runForwarded(ctx, req)
	}
	return &peerpb.RunOnceReply{Outcome: string(res.Code), Reason: string(res.Reason), Body: res.Body}
}

// settleLocal answers for the requests of this process only. The reason
// not-found tells the asking instance that this process sends no request with
// the claim that it asked about.
func (m *Manager) settleLocal(ctx context.Context, key string) outcome.Result {
	if e := m.localEntry(key); e != nil {
		return wait(ctx, e, "")
	}
	return outcome.Uncertain(outcome.ReasonNotFound)
}

func (m *Manager) runForwarded(ctx context.Context, req *peerpb.RunOnceRequest) outcome.Result {
	key, ok := parseIssuedKey(req.Key)
	if !ok || !m.isSelf(key.Instance, key.Incarnation) {
		return outcome.Uncertain(outcome.ReasonSenderGone)
	}
	deadline := time.UnixMilli(req.DeadlineUnixMs)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	return m.runOwnKey(ctx, key, Request{
		ID: req.RequestId, Key: req.Key, Operation: req.Operation, Body: req.Body, Deadline: deadline,
	})
}

func (m *Manager) localEntry(key string) *entry {
	if e := m.issued.get(key); e != nil {
		return e
	}
	return m.claimed.get(key)
}
