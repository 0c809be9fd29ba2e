package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// refusal says why a request is malformed.
type refusal struct {
	reason  outcome.Reason
	message string
}

// maxKeyLength bounds the keys of at-most-once requests.
const maxKeyLength = 200

// decode reads the body of a request strictly. The result shares no memory
// with the request, whose buffers are reused after the handler returned.
func decode(c *app.RequestContext, into any) (int, *refusal) {
	kind, _, err := mime.ParseMediaType(string(c.ContentType()))
	if err != nil || kind != "application/json" {
		return http.StatusUnsupportedMediaType, &refusal{outcome.ReasonMalformed, "the content type must be application/json"}
	}
	d := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return http.StatusBadRequest, &refusal{outcome.ReasonTruncated, "the body is truncated"}
		}
		return http.StatusBadRequest, &refusal{outcome.ReasonMalformed, "the body is not a valid request: " + err.Error()}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return http.StatusBadRequest, &refusal{outcome.ReasonMalformed, "data follows the JSON document"}
	}
	return 0, nil
}

// absoluteDeadline turns the milliseconds of a request into a point in time.
func (s *Server) absoluteDeadline(received time.Time, ms *int64) (time.Time, *refusal) {
	if ms == nil {
		return received.Add(s.o.DefaultDeadline), nil
	}
	switch {
	case *ms <= 0:
		return time.Time{}, &refusal{outcome.ReasonExpired, "deadline_ms must be at least 1"}
	case *ms > s.o.MaxDeadline.Milliseconds():
		return time.Time{}, &refusal{outcome.ReasonMalformed, fmt.Sprintf("deadline_ms must be at most %d", s.o.MaxDeadline.Milliseconds())}
	}
	return received.Add(time.Duration(*ms) * time.Millisecond), nil
}

// checkKey refuses keys that cannot be part of a path.
func checkKey(key string) *refusal {
	if key == "" {
		return &refusal{outcome.ReasonMalformed, "key is missing"}
	}
	if len(key) > maxKeyLength {
		return &refusal{outcome.ReasonMalformed, fmt.Sprintf("key is longer than %d bytes", maxKeyLength)}
	}
	for i := range len(key) {
		switch ch := key[i]; {
		case ch >= 'a' && ch <= 'z', ch >= 'A' && ch <= 'Z', ch >= '0' && ch <= '9':
		case ch == '.', ch == '_', ch == '-', ch == ':', ch == '~', ch == '@', ch == '+', ch == '=':
		default:
			return &refusal{outcome.ReasonMalformed, "key may only contain letters, digits and ._-:~@+="}
		}
	}
	return nil
}

// isPresent reports whether a JSON value was given and is not null.
func isPresent(v json.RawMessage) bool {
	return len(v) > 0 && !bytes.Equal(v, []byte("null"))
}
