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

// evidence is what one exchange says about the target.
type evidence int

const (
	evidenceNone    evidence = iota // cancelled, or refused for the request's own sake
	evidenceGood                    // a whole answer
	evidenceShed                    // refused for load
	evidenceRefused                 // no connection
	evidenceTimeout                 // no answer within the deadline
	evidenceBroken                  // broken connection or unusable answer
)

// reply is the classified end of one exchange.
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
	maxBody   int64
	transport *http.Transport
}

func newClient(address string, connections int, opts Options) *client {
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	if opts.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: opts.LocalIP}
	}
	return &client{
		address: address,
		maxBody: opts.MaxReplyBytes,
		transport: &http.Transport{
			DialContext: exchange.Counted(func(ctx context.Context, network, addr string) (net.Conn, error) {
				return opts.dial(ctx, dialer, network, addr)
			}),
			DisableCompression:  true,
			MaxConnsPerHost:     connections,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     90 * time.Second,
		},
	}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// send runs one exchange. If an idle connection turns out to be closed before
// any byte was written, it sends once more on a new connection.
func (c *client) send(ctx context.Context, w Work, deadline time.Time) reply {
	r, stale := c.exchange(ctx, w, deadline)
	if stale && ctx.Err() == nil {
		c.transport.CloseIdleConnections()
		r, _ = c.exchange(ctx, w, deadline)
	}
	return r
}

// exchange reports stale if a reused connection failed with nothing written.
func (c *client) exchange(ctx context.Context, w Work, deadline time.Time) (r reply, stale bool) {
	var ex exchange.Exchange
	req, err := http.NewRequestWithContext(ex.Trace(ctx), http.MethodPost,
		"http://"+c.address+"/"+w.Operation, io.NopCloser(bytes.NewReader(w.Body)))
	if err != nil {
		return reply{result: outcome.Refused(outcome.ReasonUnreachable)}, false
	}
	// Without GetBody and without an Idempotency-Key header the transport never
	// sends a POST a second time by itself.
	req.GetBody = nil
	req.ContentLength = int64(len(w.Body))
	if len(w.Body) == 0 {
		// A request without a body counts as replayable on a reused connection
		// when nothing was written; an explicit empty object does not.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader([]byte("{}"))), 2
	}
	req.Header = http.Header{
		"Content-Type":       {"application/json"},
		"X-Request-Id":       {w.RequestID},
		"X-Attempt-Id":       {w.AttemptID},
		"X-Deadline-Unix-Ms": {strconv.FormatInt(deadline.UnixMilli(), 10)},
		"X-Snapshot":         {w.Snapshot},
		"X-Shard":            {w.Shard},
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return c.failed(ctx, &ex)
	}
	defer resp.Body.Close()
	r = c.check(ctx, resp, w, ex.Reused)
	if r.aborted || r.evidence == evidenceBroken {
		ex.Abort()
	}
	return r, false
}

// failed classifies an exchange without a response header. Closing the
// connection first means that no later write can put bytes on the wire.
func (c *client) failed(ctx context.Context, ex *exchange.Exchange) (reply, bool) {
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
	if !ex.Sent() {
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
	return interrupted(ctx), false
}

// interrupted is the reply of an exchange that broke after bytes were sent.
func interrupted(ctx context.Context) reply {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reply{result: outcome.Uncertain(outcome.ReasonTimeout), evidence: evidenceTimeout, aborted: true}
	case ctx.Err() != nil:
		return reply{result: outcome.Uncertain(outcome.ReasonCancelled), aborted: true}
	}
	return reply{result: outcome.Uncertain(outcome.ReasonTruncated), evidence: evidenceBroken, aborted: true}
}

func broken(r outcome.Reason) reply {
	return reply{result: outcome.Uncertain(r), evidence: evidenceBroken, aborted: true}
}

// check validates a response against its request. Identifiers in the header
// are checked before the body is read, because the transport may hand the
// connection to another request once the body ends.
func (c *client) check(ctx context.Context, resp *http.Response, w Work, reused bool) reply {
	h := resp.Header
	ids := h.Get("X-Request-Id") == w.RequestID && h.Get("X-Attempt-Id") == w.AttemptID
	unlabelled := h.Get("X-Request-Id") == "" && h.Get("X-Attempt-Id") == ""
	if resp.StatusCode != http.StatusOK {
		// A refusal without identifiers can only be trusted as the first reply of
		// its connection; later it may belong to an earlier request.
		if !ids && (!unlabelled || reused) {
			return broken(outcome.ReasonMismatch)
		}
		return c.refusal(resp)
	}
	if !ids {
		return broken(outcome.ReasonMismatch)
	}
	if media, _, err := mime.ParseMediaType(h.Get("Content-Type")); err != nil || media != "application/json" {
		return broken(outcome.ReasonMalformed)
	}
	if resp.ContentLength > c.maxBody {
		return broken(outcome.ReasonMalformed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if err != nil {
		return interrupted(ctx)
	}
	if int64(len(body)) > c.maxBody {
		return broken(outcome.ReasonMalformed)
	}
	if reason := checkBody(body, w); reason != outcome.ReasonNone {
		return broken(reason)
	}
	return reply{
		result:      outcome.Result{Code: outcome.Answered, Body: body},
		evidence:    evidenceGood,
		incarnation: h.Get("X-Incarnation"),
		drain:       h.Get("X-Drain") == "true",
	}
}

func (c *client) refusal(resp *http.Response) reply {
	r := reply{incarnation: resp.Header.Get("X-Incarnation"), drain: resp.Header.Get("X-Drain") == "true"}
	switch code, said := resp.StatusCode, resp.Header.Get("X-Outcome"); {
	case code == http.StatusServiceUnavailable && said == "shed":
		r.result, r.evidence = outcome.Refused(outcome.ReasonShed), evidenceShed
	case code == http.StatusServiceUnavailable && said == "draining":
		r.result, r.drain = outcome.Refused(outcome.ReasonLeaving), true
	case code == http.StatusRequestTimeout && said == "expired":
		r.result = outcome.Refused(outcome.ReasonExpired)
	case code == http.StatusGone && said == "snapshot-gone":
		r.result = outcome.Refused(outcome.ReasonSnapshotGone)
	default:
		return broken(outcome.ReasonMalformed)
	}
	// Reading a short body to its end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	return r
}

// envelope has the fields of both kinds of reply that are checked.
type envelope struct {
	RequestID *string           `json:"request_id"`
	AttemptID *string           `json:"attempt_id"`
	Snapshot  *string           `json:"snapshot"`
	Shard     *string           `json:"shard"`
	Complete  *bool             `json:"complete"`
	Count     *int              `json:"count"`
	Items     []json.RawMessage `json:"items"`
	Ran       *bool             `json:"ran"`
}

// checkBody returns the reason why a reply is not the whole answer to w.
func checkBody(body []byte, w Work) outcome.Reason {
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return outcome.ReasonTruncated
	}
	is := func(got *string, want string) bool { return got != nil && *got == want }
	if !is(e.RequestID, w.RequestID) || !is(e.AttemptID, w.AttemptID) {
		return outcome.ReasonMismatch
	}
	if w.Operation == OperationExecute {
		if e.Ran == nil || !*e.Ran {
			return outcome.ReasonMalformed
		}
		return outcome.ReasonNone
	}
	if !is(e.Snapshot, w.Snapshot) || !is(e.Shard, w.Shard) {
		return outcome.ReasonMismatch
	}
	if e.Complete == nil || !*e.Complete || e.Count == nil || *e.Count != len(e.Items) {
		return outcome.ReasonTruncated
	}
	return outcome.ReasonNone
}
