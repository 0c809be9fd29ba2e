package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/baobabsill/baobabsill/internal/once"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// refusal is the reason and the message with which a request is refused before
// it is passed on.
type refusal struct {
	reason  outcome.Reason
	message string
}

// decode decodes the JSON body of a request into the value that into points to.
// It refuses other content types, unknown or repeated fields and trailing data,
// and returns the HTTP status of a refusal. The decoded value shares no memory
// with the request, whose buffers are reused after the handler has returned.
func decode(c *app.RequestContext, into any) (int, *refusal) {
	mediaType, _, err := mime.ParseMediaType(string(c.ContentType()))
	if err != nil || mediaType != "application/json" {
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
	if r := checkFieldNames(c.Request.Body()); r != nil {
		return http.StatusBadRequest, r
	}
	return 0, nil
}

// checkFieldNames refuses fields that are given twice or whose names match the
// declared ones only without regard to case. encoding/json accepts both, and a
// request with two keys or two bodies would run with the last of them. body must
// be valid JSON.
func checkFieldNames(body []byte) *refusal {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return &refusal{outcome.ReasonMalformed, "the body is not a JSON object"}
	}
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		var value json.RawMessage
		if err != nil || !ok || d.Decode(&value) != nil {
			return &refusal{outcome.ReasonMalformed, "the body is not a JSON object"}
		}
		if strings.ContainsFunc(name, func(r rune) bool { return r != '_' && (r < 'a' || r > 'z') }) {
			return &refusal{outcome.ReasonMalformed, fmt.Sprintf("unknown field %q", name)}
		}
		if seen[name] {
			return &refusal{outcome.ReasonMalformed, fmt.Sprintf("field %q is given twice", name)}
		}
		seen[name] = true
	}
	return nil
}

// absoluteDeadline returns the deadline of a request that arrived at received. ms
// is the time limit that the request gives in milliseconds, or nil if it gives
// none.
func (s *Server) absoluteDeadline(received time.Time, ms *int64) (time.Time, *refusal) {
	if ms == nil {
		return received.Add(s.options.DefaultDeadline), nil
	}
	switch {
	case *ms <= 0:
		return time.Time{}, &refusal{outcome.ReasonExpired, "deadline_ms must be at least 1"}
	case *ms > s.options.MaxDeadline.Milliseconds():
		return time.Time{}, &refusal{outcome.ReasonMalformed, fmt.Sprintf("deadline_ms must be at most %d", s.options.MaxDeadline.Milliseconds())}
	}
	return received.Add(time.Duration(*ms) * time.Millisecond), nil
}

// checkKey refuses the keys that the at-most-once manager would refuse, with a
// message that says what is wrong.
func checkKey(key string) *refusal {
	if key == "" {
		return &refusal{outcome.ReasonMalformed, "key is missing"}
	}
	if err := once.CheckKey(key); err != nil {
		return &refusal{outcome.ReasonMalformed, err.Error()}
	}
	return nil
}

// isPresent reports whether a JSON value was given and is not null.
func isPresent(v json.RawMessage) bool {
	return len(v) > 0 && !bytes.Equal(v, []byte("null"))
}
