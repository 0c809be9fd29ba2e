package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabsill/baobabsill/internal/exchange"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// evidence is what one exchange shows about the state of the target.
type evidence int

const (
	evidenceNone    evidence = iota // cancelled, or refused for a reason that lies in the request
	evidenceGood                    // complete answer
	evidenceShed                    // refused because of overload
	evidenceRefused                 // no usable connection
	evidenceTimeout                 // no answer by the deadline
	evidenceBroken                  // broken connection or unusable answer
)

// reply is the classified result of one exchange.
type reply struct {
	result      outcome.Result
	evidence    evidence
	incarnation string
	drain       bool
	// aborted is set if the target may still be running the request.
	aborted bool
}

// client sends to one address of a target. It is safe for concurrent use.
type client struct {
	address   string
	bodies    *exchange.BodyReader
	transport *http.Transport
}

func newClient(address string, connections int, opts Options) *client {
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	if opts.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: opts.LocalIP}
	}
	return &client{
		address: address,
		bodies:  opts.bodies,
		transport: &http.Transport{
			DialContext: exchange.CountingDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
				return opts.dial(ctx, dialer, network, addr)
			}),
			DisableCompression:  true,
			MaxConnsPerHost:     connections,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     90 * time.Second,

			MaxResponseHeaderBytes: exchange.MaxHeadBytes,
		},
	}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// send runs one exchange. If a reused connection turns out to be closed before any
// byte was written, it tries once more on a new connection.
func (c *client) send(ctx context.Context, request Request, deadline time.Time) reply {
	r, unsent := c.sendOnce(ctx, request, deadline)
	if unsent && ctx.Err() == nil {
		c.transport.CloseIdleConnections()
		r, _ = c.sendOnce(ctx, request, deadline)
	}
	return r
}

// sendOnce runs one exchange on one connection. unsent says that a reused
// connection failed before any byte was written.
func (c *client) sendOnce(ctx context.Context, request Request, deadline time.Time) (r reply, unsent bool) {
	var ex exchange.Exchange
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.address+"/"+request.Operation, io.NopCloser(bytes.NewReader(request.Body)))
	if err != nil {
		return reply{result: outcome.Refused(outcome.ReasonUnreachable)}, false
	}
	// Without GetBody and without an Idempotency-Key header the transport never
	// sends a POST a second time by itself.
	req.GetBody = nil
	req.ContentLength = int64(len(request.Body))
	if len(request.Body) == 0 {
		// The transport itself repeats a request without a body if a reused
		// connection fails before any write. It does not repeat one with an
		// explicit empty object.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader([]byte("{}"))), 2
	}
	req.Header = http.Header{
		"Content-Type":       {"application/json"},
		"X-Request-Id":       {request.RequestID},
		"X-Attempt-Id":       {request.AttemptID},
		"X-Deadline-Unix-Ms": {strconv.FormatInt(deadline.UnixMilli(), 10)},
		"X-Snapshot":         {request.Snapshot},
		"X-Shard":            {request.Shard},
	}
	resp, err := ex.RoundTrip(c.transport, req)
	switch {
	case errors.Is(err, exchange.ErrMalformedHead):
		return brokenReply(outcome.ReasonMalformed), false
	case err != nil:
		return c.classifyFailure(ctx, &ex)
	}
	defer resp.Body.Close()
	r = c.classifyResponse(ctx, resp, request, ex.Reused)
	if r.aborted || r.evidence == evidenceBroken {
		ex.Abort()
	}
	return r, false
}

// classifyFailure classifies an exchange that got no response header. It closes
// the connection before it asks whether bytes were sent, so that no later write
// can send any. The bool says that the exchange may be tried on a new connection.
func (c *client) classifyFailure(ctx context.Context, ex *exchange.Exchange) (reply, bool) {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancelled := ctx.Err() != nil && !late
	if !ex.Connected() {
		switch {
		case cancelled:
			return reply{result: outcome.Refused(outcome.ReasonCancelled)}, false
		case late:
			return reply{result: outcome.Refused(outcome.ReasonExpired), evidence: evidenceTimeout}, false
		}
		return reply{result: outcome.Refused(outcome.ReasonUnreachable), evidence: evidenceRefused}, false
	}
	ex.Abort()
	if !ex.MayHaveSent() {
		switch {
		case cancelled:
			return reply{result: outcome.Refused(outcome.ReasonCancelled)}, false
		case late:
			return reply{result: outcome.Refused(outcome.ReasonExpired)}, false
		}
		e := evidenceRefused
		if ex.Reused {
			e = evidenceNone
		}
		return reply{result: outcome.Refused(outcome.ReasonUnreachable), evidence: e}, ex.Reused
	}
	return interruptedReply(ctx), false
}

// interruptedReply returns the reply of an exchange that ended early after bytes
// were sent: by timeout, by cancellation or by a broken connection.
func interruptedReply(ctx context.Context) reply {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reply{result: outcome.Uncertain(outcome.ReasonTimeout), evidence: evidenceTimeout, aborted: true}
	case ctx.Err() != nil:
		return reply{result: outcome.Uncertain(outcome.ReasonCancelled), aborted: true}
	}
	return reply{result: outcome.Uncertain(outcome.ReasonTruncated), evidence: evidenceBroken, aborted: true}
}

func brokenReply(r outcome.Reason) reply {
	return reply{result: outcome.Uncertain(r), evidence: evidenceBroken, aborted: true}
}

// classifyResponse validates a response against its request. It checks the
// identifiers in the header before it reads the body, because the transport may
// give the connection to another request once the body ends.
func (c *client) classifyResponse(ctx context.Context, resp *http.Response, request Request, reused bool) reply {
	h := resp.Header
	idsMatch := h.Get("X-Request-Id") == request.RequestID && h.Get("X-Attempt-Id") == request.AttemptID
	withoutIDs := h.Get("X-Request-Id") == "" && h.Get("X-Attempt-Id") == ""
	if resp.StatusCode != http.StatusOK {
		// A refusal without identifiers is trusted only as the first reply on its
		// connection; a later one may belong to an earlier request.
		if !idsMatch && (!withoutIDs || reused) {
			return brokenReply(outcome.ReasonMismatch)
		}
		return c.classifyRefusal(resp)
	}
	if !idsMatch {
		return brokenReply(outcome.ReasonMismatch)
	}
	if media, _, err := mime.ParseMediaType(h.Get("Content-Type")); err != nil || media != "application/json" {
		return brokenReply(outcome.ReasonMalformed)
	}
	body, err := c.bodies.Read(resp)
	switch {
	case errors.Is(err, exchange.ErrBodyTooLarge):
		return brokenReply(outcome.ReasonMalformed)
	case errors.Is(err, exchange.ErrNoBodyMemory): // which says nothing of this target
		return reply{result: outcome.Uncertain(outcome.ReasonOverload), aborted: true}
	case err != nil:
		return interruptedReply(ctx)
	}
	if reason := checkBody(body, request); reason != outcome.ReasonNone {
		return brokenReply(reason)
	}
	return reply{
		result:      outcome.Result{Code: outcome.Answered, Body: body},
		evidence:    evidenceGood,
		incarnation: h.Get("X-Incarnation"),
		drain:       h.Get("X-Drain") == "true",
	}
}

func (c *client) classifyRefusal(resp *http.Response) reply {
	r := reply{incarnation: resp.Header.Get("X-Incarnation"), drain: resp.Header.Get("X-Drain") == "true"}
	switch code, result := resp.StatusCode, resp.Header.Get("X-Outcome"); {
	case code == http.StatusServiceUnavailable && result == "shed":
		r.result, r.evidence = outcome.Refused(outcome.ReasonShed), evidenceShed
	case code == http.StatusServiceUnavailable && result == "draining":
		r.result, r.drain = outcome.Refused(outcome.ReasonLeaving), true
	case code == http.StatusRequestTimeout && result == "expired":
		r.result = outcome.Refused(outcome.ReasonExpired)
	case code == http.StatusGone && result == "snapshot-gone":
		r.result = outcome.Refused(outcome.ReasonSnapshotGone)
	default:
		return brokenReply(outcome.ReasonMalformed)
	}
	exchange.DiscardBody(resp)
	return r
}

// replyFields are the fields of search and execute replies that checkBody reads.
type replyFields struct {
	RequestID *string           `json:"request_id"`
	AttemptID *string           `json:"attempt_id"`
	Snapshot  *string           `json:"snapshot"`
	Shard     *string           `json:"shard"`
	Complete  *bool             `json:"complete"`
	Count     *int              `json:"count"`
	Items     []json.RawMessage `json:"items"`
	Ran       *bool             `json:"ran"`
}

// checkBody returns the reason why a body is not the complete answer to request, or
// ReasonNone if it is.
func checkBody(body []byte, request Request) outcome.Reason {
	var e replyFields
	if err := json.Unmarshal(body, &e); err != nil {
		return outcome.ReasonTruncated
	}
	equals := func(got *string, want string) bool { return got != nil && *got == want }
	if !equals(e.RequestID, request.RequestID) || !equals(e.AttemptID, request.AttemptID) {
		return outcome.ReasonMismatch
	}
	if request.Operation == OperationExecute {
		if e.Ran == nil || !*e.Ran {
			return outcome.ReasonMalformed
		}
		return outcome.ReasonNone
	}
	if !equals(e.Snapshot, request.Snapshot) || !equals(e.Shard, request.Shard) {
		return outcome.ReasonMismatch
	}
	if e.Complete == nil || !*e.Complete || e.Count == nil || *e.Count != len(e.Items) {
		return outcome.ReasonTruncated
	}
	return outcome.ReasonNone
}
