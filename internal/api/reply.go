package api

import (
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Reply is the body of the replies to callers' searches and operations, and of
// refusals.
type Reply struct {
	// Outcome is "answered", "refused-not-run", "refused-incomplete",
	// "unknown" or "invalid".
	Outcome   string            `json:"outcome"`
	Reason    string            `json:"reason,omitempty"`
	Message   string            `json:"message,omitempty"`
	RequestID string            `json:"request_id,omitempty"`
	Key       string            `json:"key,omitempty"`
	Snapshot  string            `json:"snapshot,omitempty"`
	Coverage  *gateway.Coverage `json:"coverage,omitempty"`
	Items     []json.RawMessage `json:"items,omitempty"`
	// Result is the target's answer to an operation.
	Result json.RawMessage `json:"result,omitempty"`
}

// callerOutcome returns the name of an outcome in replies to callers.
func callerOutcome(c outcome.Code) string {
	if c == outcome.NotRun {
		return "refused-not-run"
	}
	return string(c)
}

// httpStatus returns the HTTP status of a reply with this result.
func httpStatus(r outcome.Result) int {
	switch r.Code {
	case outcome.Answered:
		return http.StatusOK
	case outcome.NotRun, outcome.Incomplete:
		return http.StatusServiceUnavailable
	case outcome.Invalid:
		switch r.Reason {
		case outcome.ReasonKeyReused:
			return http.StatusConflict
		case outcome.ReasonNotFound:
			return http.StatusNotFound
		}
		return http.StatusBadRequest
	default:
		return http.StatusGatewayTimeout
	}
}

func writeReply(c *app.RequestContext, status int, r Reply) {
	if r.Reason == string(outcome.ReasonOverload) || r.Reason == string(outcome.ReasonShed) {
		c.Header("Retry-After", "1")
	}
	writeJSON(c, status, r)
}

// writeRefusal answers a request that was not passed on.
func writeRefusal(c *app.RequestContext, status int, requestID string, r refusal) {
	writeReply(c, status, Reply{Outcome: string(outcome.Invalid), Reason: string(r.reason), Message: r.message, RequestID: requestID})
}

func writeJSON(c *app.RequestContext, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Data(status, "application/json", body)
}
