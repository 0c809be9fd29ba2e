package api

import (
	"bytes"
	"fmt"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// readRefusals maps the bodies of Hertz's answers to typed refusals.
var readRefusals = []struct {
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

func readRefusal(b []byte) []byte {
	if !bytes.HasPrefix(b, []byte("HTTP/1.1 4")) {
		return nil
	}
	_, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return nil
	}
	for _, r := range readRefusals {
		if string(body) == r.body {
			doc := fmt.Sprintf(`{"outcome":%q,"reason":%q,"message":%q}`, outcome.Invalid, r.reason, r.message)
			return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				r.status, len(doc), doc)
		}
	}
	return nil
}
