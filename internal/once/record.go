package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// Kinds of the objects that this package stores at the platform.
const (
	RecordKind = "once"
	ClosedKind = "onceclosed"
)

// Records is the part of the platform that this package needs.
type Records interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error)
	Delete(ctx context.Context, kind, name string, ifVersion int64) error
	List(ctx context.Context, kind string) ([]platform.Object, int64, error)
}

// recordState is the progress of the request of a record: claimed until the
// outcome is known, then done (answered) or unknown.
type recordState string

const (
	stateClaimed recordState = "claimed"
	stateDone    recordState = "done"
	stateUnknown recordState = "unknown"
)

// record is the value of the object once/<key>. Only the process that wrote
// Token may send the request. Digest identifies the request of the key.
type record struct {
	Token         string         `json:"token"`
	Instance      string         `json:"instance"`
	Incarnation   string         `json:"incarnation"`
	Operation     string         `json:"operation"`
	Digest        string         `json:"digest"`
	State         recordState    `json:"state"`
	Reason        outcome.Reason `json:"reason,omitempty"`
	Body          []byte         `json:"body,omitempty"`
	CreatedUnixMs int64          `json:"created_unix_ms"`
}

// closingObject is the value of the object onceclosed/<instance>.<incarnation>.
// A process writes it when it sends no more requests and every request of its
// issued keys that it sent has a record.
type closingObject struct {
	ClosedUnixMs int64 `json:"closed_unix_ms"`
}

// storedRecord is a record with its object version at the platform.
type storedRecord struct {
	record
	version int64
}

func (r record) result() outcome.Result {
	switch r.State {
	case stateDone:
		return outcome.Result{Code: outcome.Answered, Body: r.Body}
	case stateUnknown:
		return outcome.Uncertain(r.Reason)
	}
	return outcome.Uncertain(outcome.ReasonInProgress)
}

// withResult returns a copy of the record with the final state for an answered
// or unknown result.
func (r record) withResult(res outcome.Result) record {
	if res.Code == outcome.Answered {
		r.State, r.Body = stateDone, res.Body
		return r
	}
	r.State, r.Reason = stateUnknown, res.Reason
	return r
}

// requestDigest identifies the request of a key, so that reuse of the key for
// another request is refused.
func requestDigest(operation string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(operation))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func (m *Manager) readRecord(ctx context.Context, key string) (storedRecord, error) {
	obj, err := m.records.Get(ctx, RecordKind, key)
	if err != nil {
		return storedRecord{}, err
	}
	var r record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return storedRecord{}, Error.New("record of key %q: %v", key, err)
	}
	return storedRecord{record: r, version: obj.Version}, nil
}

func (m *Manager) writeRecord(ctx context.Context, key string, r record, ifVersion int64) (int64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return m.records.Put(ctx, RecordKind, key, value, ifVersion)
}
