package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/internal/exchange/exchangetest"
)

// Guards against reporting a change that may have taken effect as one that did
// not, and the reverse: the class of the error must follow from how far the call
// got and what the platform answered.
func TestPutErrorClasses(t *testing.T) {
	refused := httptest.NewServer(http.NotFoundHandler())
	refused.Close()
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    *errs.Class
	}{
		"refused connection": {nil, &ErrUnavailable},
		"outage":             {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, &ErrUnavailable},
		"server error":       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, &ErrOutcomeUnknown},
		"connection dropped": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, &ErrOutcomeUnknown},
		"no answer":          {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, &ErrOutcomeUnknown},
		"truncated answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"version":`))
		}, &ErrOutcomeUnknown},
		"status 000": {func(w http.ResponseWriter, _ *http.Request) {
			exchangetest.AnswerRaw(w, "HTTP/1.1 000 x\r\nContent-Length: 13\r\n\r\n"+`{"version":1}`)
		}, &ErrOutcomeUnknown},
		"blank in a name": {func(w http.ResponseWriter, _ *http.Request) {
			exchangetest.AnswerRaw(w, "HTTP/1.1 503 x\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n")
		}, &ErrOutcomeUnknown},
		"control byte in a name": {func(w http.ResponseWriter, _ *http.Request) {
			exchangetest.AnswerRaw(w, "HTTP/1.1 503 x\r\nX\x01Odd: 1\r\nContent-Length: 0\r\n\r\n")
		}, &ErrOutcomeUnknown},
		"missing": {http.NotFound, &ErrNotFound},
		"conflict": {func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("If-Match") != "4" {
				t.Errorf("If-Match %q", r.Header.Get("If-Match"))
			}
			w.WriteHeader(409)
			_, _ = w.Write([]byte(`{"version":17}`))
		}, &ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			address := refused.URL
			if tc.handler != nil {
				// The server notices a closed connection only after the body was read.
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					var v json.RawMessage
					_ = json.NewDecoder(r.Body).Decode(&v)
					tc.handler(w, r)
				}))
				defer srv.Close()
				address = srv.URL
			}
			_, err := NewClient(address, 100*time.Millisecond).Put(context.Background(), "config", "main", json.RawMessage(`{}`), 4)
			if !tc.want.Has(err) {
				t.Fatalf("got %v, want class %s", err, *tc.want)
			}
			if v, ok := CurrentVersion(err); tc.want == &ErrConflict && (!ok || v != 17) {
				t.Fatalf("current version %d, %v", v, ok)
			}
		})
	}
}
