package gateway

import (
	"encoding/json"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// shardReply is the body of a target's reply to a search sub-request.
type shardReply struct {
	RequestID string            `json:"request_id"`
	AttemptID string            `json:"attempt_id"`
	Snapshot  string            `json:"snapshot"`
	Shard     string            `json:"shard"`
	Complete  bool              `json:"complete"`
	Count     int               `json:"count"`
	Items     []json.RawMessage `json:"items"`
}

// parseShardReply returns the items of an answered reply, or a reason if the
// body is truncated or belongs to another request, attempt, snapshot or shard.
func parseShardReply(req *peerpb.ExecuteRequest, reply *peerpb.ExecuteReply) ([]json.RawMessage, outcome.Reason) {
	if reply.GetAttemptId() != req.GetAttemptId() {
		return nil, outcome.ReasonMismatch
	}
	var p shardReply
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
