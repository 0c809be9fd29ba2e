package gateway

import (
	"encoding/json"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// part is the body of a target's reply to a search.
type part struct {
	RequestID string            `json:"request_id"`
	AttemptID string            `json:"attempt_id"`
	Snapshot  string            `json:"snapshot"`
	Shard     string            `json:"shard"`
	Complete  bool              `json:"complete"`
	Count     int               `json:"count"`
	Items     []json.RawMessage `json:"items"`
}

// readPart returns the items of an answered reply. Only a whole reply to
// exactly this attempt counts; anything else gives a reason.
func readPart(req *peerpb.ExecuteRequest, reply *peerpb.ExecuteReply) ([]json.RawMessage, outcome.Reason) {
	if reply.GetAttemptId() != req.GetAttemptId() {
		return nil, outcome.ReasonMismatch
	}
	var p part
	if err := json.Unmarshal(reply.GetBody(), &p); err != nil {
		return nil, outcome.ReasonTruncated
	}
	if p.RequestID != req.GetRequestId() || p.AttemptID != req.GetAttemptId() ||
		p.Snapshot != req.GetSnapshot() || p.Shard != req.GetShard() {
		return nil, outcome.ReasonMismatch
	}
	if !p.Complete || p.Count != len(p.Items) {
		return nil, outcome.ReasonTruncated
	}
	return p.Items, outcome.ReasonNone
}
