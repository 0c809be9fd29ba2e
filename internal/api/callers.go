package api

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// SearchBody is the body of POST /v1/search.
type SearchBody struct {
	Search string          `json:"search"`
	Query  json.RawMessage `json:"query"`
	// DeadlineMS is the time limit for the answer in milliseconds, counted from
	// the arrival of the request.
	DeadlineMS *int64 `json:"deadline_ms,omitempty"`
}

// ExecuteBody is the body of POST /v1/execute. DeadlineMS is as in SearchBody.
type ExecuteBody struct {
	Operation  string          `json:"operation"`
	Key        string          `json:"key"`
	Body       json.RawMessage `json:"body"`
	DeadlineMS *int64          `json:"deadline_ms,omitempty"`
}

// newRequestID returns 96 random bits as 24 hexadecimal digits.
func newRequestID() string {
	var b [12]byte
	rand.Read(b[:]) //nolint:errcheck // never fails
	return hex.EncodeToString(b[:])
}

func (s *Server) search(ctx context.Context, c *app.RequestContext) {
	received, id := time.Now(), newRequestID()
	var body SearchBody
	if status, r := decode(c, &body); r != nil {
		s.refuse(c, status, id, *r)
		return
	}
	deadline, r := s.absoluteDeadline(received, body.DeadlineMS)
	switch {
	case r != nil:
	case body.Search == "":
		r = &refusal{outcome.ReasonMalformed, "search is missing"}
	case !isPresent(body.Query):
		r = &refusal{outcome.ReasonMalformed, "query is missing"}
	}
	if r != nil {
		s.refuse(c, http.StatusBadRequest, id, *r)
		return
	}
	reply := s.searcher.Search(ctx, gateway.SearchRequest{RequestID: id, Search: body.Search, Query: body.Query, Deadline: deadline})
	doc := Reply{
		Outcome: callerOutcome(reply.Result.Code), Reason: string(reply.Result.Reason),
		RequestID: id, Snapshot: reply.Snapshot, Items: reply.Items,
	}
	if reply.Coverage.Total > 0 {
		doc.Coverage = &reply.Coverage
	}
	if reply.Result.Code == outcome.Invalid && reply.Result.Reason == outcome.ReasonNotFound {
		doc.Message = "no search of this name is declared"
	}
	writeReply(c, httpStatus(reply.Result), doc)
}

func (s *Server) execute(ctx context.Context, c *app.RequestContext) {
	received, id := time.Now(), newRequestID()
	var body ExecuteBody
	if status, r := decode(c, &body); r != nil {
		s.refuse(c, status, id, *r)
		return
	}
	deadline, r := s.absoluteDeadline(received, body.DeadlineMS)
	switch {
	case r != nil:
	case body.Operation == "":
		r = &refusal{outcome.ReasonMalformed, "operation is missing"}
	case !isPresent(body.Body):
		r = &refusal{outcome.ReasonMalformed, "body is missing"}
	default:
		r = checkKey(body.Key)
	}
	if r != nil {
		s.refuse(c, http.StatusBadRequest, id, *r)
		return
	}
	s.writeResult(c, s.executor.Run(ctx, body.Key, body.Operation, body.Body, deadline, id), body.Key, id)
}

func (s *Server) issueKey(_ context.Context, c *app.RequestContext) {
	if len(c.Request.Body()) > 0 {
		var empty struct{}
		if status, r := decode(c, &empty); r != nil {
			s.refuse(c, status, "", *r)
			return
		}
	}
	key, ok := s.executor.IssueKey()
	if !ok {
		s.refuse(c, http.StatusServiceUnavailable, "", refusal{outcome.ReasonDraining, "the instance stops"})
		return
	}
	writeJSON(c, http.StatusOK, struct {
		Key string `json:"key"`
	}{key})
}

func (s *Server) lookUpOutcome(ctx context.Context, c *app.RequestContext) {
	id, key := newRequestID(), string([]byte(c.Param("key")))
	if r := checkKey(key); r != nil {
		s.refuse(c, http.StatusBadRequest, id, *r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.DefaultDeadline)
	defer cancel()
	s.writeResult(c, s.executor.LookUpOutcome(ctx, key), key, id)
}

// writeResult writes the outcome of an at-most-once request as the reply.
func (s *Server) writeResult(c *app.RequestContext, r outcome.Result, key, id string) {
	doc := Reply{Outcome: callerOutcome(r.Code), Reason: string(r.Reason), RequestID: id, Key: key}
	if r.Code == outcome.Answered {
		doc.Result = r.Body
	}
	writeReply(c, httpStatus(r), doc)
}

// refuse answers a request that is not passed on and logs the reason.
func (s *Server) refuse(c *app.RequestContext, status int, id string, r refusal) {
	s.logger.Info().Str("request_id", id).Str("path", string(c.Path())).Int("status", status).
		Str("reason", string(r.reason)).Str("detail", r.message).Msg("refuse")
	writeRefusal(c, status, id, r)
}
