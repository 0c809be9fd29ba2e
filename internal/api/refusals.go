package api

import (
	"bytes"
	"fmt"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// hertzRefusals lists the bodies of the replies that Hertz itself sends if it
// cannot read a request, each with the status, reason and message of the JSON
// reply that replaces it.
var hertzRefusals = []struct {
	body    string
	status  string
	reason  outcome.Reason
	message string
}{
	{"Request timeout", "408 Request Timeout", outcome.ReasonTimeout, "the request did not arrive in time"},
	{"Request Entity Too Large", "413 Request Entity Too Large", outcome.ReasonMalformed, "the body is too large"},
	{"Request Header Fields Too Large", "431 Request Header Fields Too Large", outcome.ReasonMalformed, "the header is too large"},
	{"Error when parsing request", "400 Bad Request", outcome.ReasonTruncated, "the request is malformed or its body is truncated"},
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
	for _, r := range hertzRefusals {
		if string(body) == r.body {
			doc := fmt.Sprintf(`{"outcome":%q,"reason":%q,"message":%q}`, outcome.Invalid, r.reason, r.message)
			return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				r.status, len(doc), doc)
		}
	}
	return nil
}
