package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/forward"
	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Gather implements forward.Leaves.
func (p *peers) Gather(ctx context.Context, name string, req *forward.GatherRequest) (forward.GatherReply, error) {
	address := p.catalog.Load().Instances[name].Address
	if address == "" {
		return forward.GatherReply{}, fmt.Errorf("%w: %s is not registered", forward.ErrNotGathered, name)
	}
	m, err := p.conns.Client(address).Gather(ctx, encodeGather(req))
	if err != nil {
		if peer.NotSent(err) || refusedGather(err) {
			return forward.GatherReply{}, fmt.Errorf("%w: %w", forward.ErrNotGathered, err)
		}
		return forward.GatherReply{}, err
	}
	if string(m.AttemptId) != req.Query.AttemptID {
		return forward.GatherReply{}, errors.New("answer to another attempt")
	}
	return decodeGatherReply(m), nil
}

// refusedGather reports whether err says that the other instance refused the request
// before it sent anything.
func refusedGather(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && (t.Code() == twirp.FailedPrecondition || t.Code() == twirp.BadRoute || t.Code() == twirp.Unimplemented)
}

// Gather serves a part of a query for another instance.
func (s peerService) Gather(ctx context.Context, m *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	reply, err := s.forwarder.Gather(ctx, decodeGather(m))
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return encodeGatherReply(m.AttemptId, reply), nil
}

func encodeGather(req *forward.GatherRequest) *peerpb.GatherRequest {
	q, route := req.Query, req.Route
	m := &peerpb.GatherRequest{
		AttemptId: []byte(q.AttemptID), From: req.From, Route: route.Name, Method: q.Method, Uri: []byte(q.URI), Host: []byte(q.Host), Body: q.Body,
		Shards: route.Shards, TopK: int32(route.TopK), Call: req.Call, Resume: req.Resume, Objective: route.Objective.Microseconds(),
		AnswerWithin: req.AnswerWithin.Microseconds(), ReplyWithin: req.ReplyWithin.Microseconds(),
		Within: req.Within.Microseconds(), MaxAttempts: int32(route.MaxAttempts),
		Repeat: req.Repeat, Regions: route.Regions, Evacuated: req.Evacuated, Home: req.Home, Priority: int32(route.Priority),
	}
	for name, values := range q.Header {
		field := &peerpb.HeaderField{Name: name}
		for _, v := range values {
			field.Values = append(field.Values, []byte(v))
		}
		m.Header = append(m.Header, field)
	}
	return m
}

func decodeGather(m *peerpb.GatherRequest) *forward.GatherRequest {
	header := make(http.Header, len(m.Header))
	for _, h := range m.Header {
		for _, v := range h.GetValues() {
			header[h.GetName()] = append(header[h.GetName()], string(v))
		}
	}
	return &forward.GatherRequest{
		Query: &forward.Request{AttemptID: string(m.AttemptId), Method: m.Method, URI: string(m.Uri), Host: string(m.Host), Header: header, Body: m.Body},
		From:  m.From,
		Route: &catalog.Route{
			Name: m.Route, Objective: microseconds(m.Objective), MaxAttempts: int(m.MaxAttempts), Priority: int(m.Priority),
			Regions: m.Regions, Shards: m.Shards, TopK: int(m.TopK),
		},
		Call: m.Call, Resume: m.Resume,
		AnswerWithin: microseconds(m.AnswerWithin), ReplyWithin: microseconds(m.ReplyWithin), Within: microseconds(m.Within), Repeat: m.Repeat, Evacuated: m.Evacuated, Home: m.Home,
	}
}

// maxMicroseconds keeps larger values from overflowing a time.Duration.
const maxMicroseconds = int64(time.Hour * 1000 / time.Microsecond)

func microseconds(n int64) time.Duration {
	return time.Duration(max(min(n, maxMicroseconds), -maxMicroseconds)) * time.Microsecond
}

func encodeGatherReply(attemptID []byte, reply forward.GatherReply) *peerpb.GatherReply {
	m := &peerpb.GatherReply{AttemptId: attemptID, Records: reply.Records, Leaving: reply.Leaving, Took: reply.Took.Microseconds()}
	for _, a := range reply.Answered {
		m.Answered = append(m.Answered, &peerpb.GatheredShard{Shard: int32(a.Shard), Signature: []byte(a.Signature)})
	}
	for _, s := range reply.Missing {
		m.Missing = append(m.Missing, &peerpb.MissingShard{Shard: int32(s.Shard), Reason: s.Reason, MayHaveRun: s.MayHaveRun, Pending: s.Pending})
	}
	return m
}

func decodeGatherReply(m *peerpb.GatherReply) forward.GatherReply {
	reply := forward.GatherReply{Records: m.Records, Leaving: m.Leaving, Took: microseconds(m.Took)}
	for _, a := range m.Answered {
		reply.Answered = append(reply.Answered, forward.GatheredShard{Shard: int(a.GetShard()), Signature: string(a.GetSignature())})
	}
	for _, s := range m.Missing {
		reply.Missing = append(reply.Missing, forward.MissingShard{
			Shard: int(s.GetShard()), Reason: s.GetReason(), MayHaveRun: s.GetMayHaveRun(), Pending: s.GetPending(),
		})
	}
	return reply
}
