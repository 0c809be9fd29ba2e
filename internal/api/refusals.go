package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// unread lists the statuses with which a request is refused that could not be read, each
// with its reason and message, and the body of Hertz's own reply, if there is one.
var unread = []struct {
	status int
	body   string
	refusal
}{
	{http.StatusRequestTimeout, "Request timeout", refusal{outcome.ReasonTimeout, "the request did not arrive in time"}},
	{http.StatusRequestEntityTooLarge, "Request Entity Too Large", refusal{outcome.ReasonMalformed, "the body is too large"}},
	{http.StatusRequestHeaderFieldsTooLarge, "Request Header Fields Too Large", refusal{outcome.ReasonMalformed, "the header is too large"}},
	{http.StatusBadRequest, "Error when parsing request", refusal{outcome.ReasonTruncated, "the request is malformed or its body is truncated"}},
}

// refuseUnread answers a request that could not be read, and logs the status.
func (s *Server) refuseUnread(c *app.RequestContext, status int) {
	s.logger.Info().Str("event", "refused").Str("listener", s.listener.Name()).Int("status", status).
		Msg("a request that could not be read was refused")
	for _, r := range unread {
		if r.status == status {
			writeRefusal(c, status, "", r.refusal)
			return
		}
	}
	writeReply(c, status, overloaded)
}

// overloaded is the reply to a request for which there is no room.
var overloaded = Reply{
	Outcome: callerOutcome(outcome.NotRun), Reason: string(outcome.ReasonOverload), Message: "too many clients",
}

// overloadedReply returns the bytes of that reply.
func overloadedReply() []byte {
	body, err := json.Marshal(overloaded)
	if err != nil {
		panic(err) // a constant
	}
	return rawReply(http.StatusServiceUnavailable, "Retry-After: 1\r\n", body)
}

// rewriteHertzRefusal returns the JSON reply that replaces reply, or nil if reply
// is not a refusal of Hertz.
func rewriteHertzRefusal(reply []byte) []byte {
	if !bytes.HasPrefix(reply, []byte("HTTP/1.1 4")) {
		return nil
	}
	_, body, ok := bytes.Cut(reply, []byte("\r\n\r\n"))
	if !ok {
		return nil
	}
	for _, r := range unread {
		if string(body) == r.body {
			doc := fmt.Sprintf(`{"outcome":%q,"reason":%q,"message":%q}`, outcome.Invalid, r.reason, r.message)
			return rawReply(r.status, "", []byte(doc))
		}
	}
	return nil
}

// rawReply returns the bytes of a JSON reply that closes its connection.
func rawReply(status int, fields string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), fields, len(body), body)
}
