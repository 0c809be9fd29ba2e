package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// GatherRequest asks an instance, the leaf, for the merged answer of some shards of a
// query, or for what was pending in an earlier reply. Times are counted from its arrival.
type GatherRequest struct {
	Query *Request
	// From is the name of the instance that asks, and Call its number of this part of the
	// query.
	From string
	Call uint64
	// Resume is set if only the shards are asked for that were pending in the last reply
	// to Call.
	Resume bool
	// Route has the shards asked for, and of the caller's route what the leaf needs.
	Route *catalog.Route
	// AnswerWithin is when an answer is needed to meet the objective. ReplyWithin is when
	// a reply is due even if shards are missing: an entry that has none by then asks
	// another leaf. Within is the deadline.
	AnswerWithin, ReplyWithin, Within time.Duration
	// Repeat is set if another leaf may have sent the query to these shards.
	Repeat bool
	// Home is the zone in which the shards were to be asked first. It is the same for all
	// leaves that are asked for them, see restrictToAttempts.
	Home string
	// Evacuated are the zones that the asking instance knows to be evacuated.
	Evacuated []string
}

// GatherReply is a reply of a leaf. Shards are indexes in the route of the request.
type GatherReply struct {
	// Answered are shards that were in no earlier reply.
	Answered []GatheredShard
	Missing  []MissingShard
	// Records are the greatest records of the answered shards, the greatest first.
	Records []byte
	// Leaving is set if the leaf is about to stop.
	Leaving bool
	// Took is the time from the arrival of the request.
	Took time.Duration
}

// GatheredShard is a shard whose reply is in the reply of a leaf.
type GatheredShard struct {
	Shard     int
	Signature string
}

// MissingShard is a shard that is not in the reply of a leaf.
type MissingShard struct {
	Shard      int
	Reason     string
	MayHaveRun bool
	// Pending is set if the leaf is still waiting for a reply.
	Pending bool
}

// Leaves calls other instances.
type Leaves interface {
	// Gather asks the instance of a name. It returns ErrNotGathered, wrapped, if the
	// instance has certainly not sent the query to any replica.
	Gather(ctx context.Context, instance string, req *GatherRequest) (GatherReply, error)
}

// ErrNotGathered means that no replica got the query.
var ErrNotGathered = errors.New("not gathered")

const (
	// maxGatheredShards bounds the shards of one request to a leaf.
	maxGatheredShards = 4096
	// maxTopK bounds the records of a request to a leaf.
	maxTopK = 100_000
	// maxSignatureBytes bounds the signature of a replica.
	maxSignatureBytes = 1 << 10
	// maxGatherTime bounds the deadline that a leaf accepts.
	maxGatherTime = 10 * time.Minute
)

// Validate returns an error that says what is wrong with a request from another instance.
func (r *GatherRequest) Validate() error {
	route := r.Route
	switch {
	case r.Query.AttemptID == "":
		return errors.New("no attempt id")
	case r.Within <= 0 || r.Within > maxGatherTime:
		return fmt.Errorf("deadline in %v", r.Within)
	case r.ReplyWithin > r.Within:
		return errors.New("a reply is due after the deadline")
	case r.Resume:
		return nil
	case len(route.Shards) > maxGatheredShards:
		return fmt.Errorf("%d shards, %d are allowed", len(route.Shards), maxGatheredShards)
	case route.TopK < 0 || route.TopK > maxTopK:
		return fmt.Errorf("%d records asked for, %d are allowed", route.TopK, maxTopK)
	case route.Objective <= 0 || route.Objective > maxGatherTime:
		return fmt.Errorf("objective of %v", route.Objective)
	case route.MaxAttempts < 0:
		return fmt.Errorf("%d attempts", route.MaxAttempts)
	}
	seen := make(map[string]bool, len(route.Shards))
	for _, s := range route.Shards {
		if s == "" || seen[s] {
			return fmt.Errorf("shard %q is empty or named twice", s)
		}
		seen[s] = true
	}
	return nil
}

// validate returns an error that says why the reply of a leaf cannot be used. due are the
// shards that earlier replies to the call did not answer, by their index in the request.
func (r *GatherReply) validate(due map[int]bool, topK int) error {
	seen := make(map[int]bool, len(due))
	name := func(shard int) error {
		if !due[shard] || seen[shard] {
			return fmt.Errorf("shard %d was not asked for or is named twice", shard)
		}
		seen[shard] = true
		return nil
	}
	for _, g := range r.Answered {
		if err := name(g.Shard); err != nil {
			return err
		}
		if g.Signature == "" || len(g.Signature) > maxSignatureBytes || strings.ContainsAny(g.Signature, ", \t\r\n") {
			return fmt.Errorf("shard %d has no usable signature", g.Shard)
		}
	}
	for _, m := range r.Missing {
		if err := name(m.Shard); err != nil {
			return err
		}
	}
	if len(seen) != len(due) {
		return fmt.Errorf("%d of %d shards are named", len(seen), len(due))
	}
	if len(r.Records)%recordSize != 0 || len(r.Records) > topK*recordSize {
		return fmt.Errorf("%d bytes of records", len(r.Records))
	}
	for i := recordSize; i < len(r.Records); i += recordSize {
		if bytes.Compare(r.Records[i-recordSize:i], r.Records[i:i+recordSize]) < 0 {
			return errors.New("records are not sorted")
		}
	}
	return nil
}
