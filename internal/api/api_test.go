package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/gateway"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/status"
)

// TestMain checks for leaked goroutines, except for the one in which Hertz updates
// the Date header for the whole process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"))
}

// fakeBackend implements the interfaces behind the server. calls counts the calls
// that would send a request to a target.
type fakeBackend struct {
	calls  atomic.Int64
	result outcome.Result
	search func(ctx context.Context, req gateway.SearchRequest) gateway.SearchReply
	state  string
}

func (f *fakeBackend) Search(ctx context.Context, req gateway.SearchRequest) gateway.SearchReply {
	f.calls.Add(1)
	return f.search(ctx, req)
}

func (f *fakeBackend) Run(context.Context, string, string, []byte, time.Time, string) outcome.Result {
	f.calls.Add(1)
	return f.result
}

func (f *fakeBackend) LookUpOutcome(context.Context, string) outcome.Result { return f.result }
func (f *fakeBackend) IssueKey() (string, bool)                             { return "i1.k1", true }
func (f *fakeBackend) Ensure(context.Context) bool                          { return false }
func (f *fakeBackend) Status() status.Document {
	return status.Document{Instance: "i1", State: f.state, CutOff: true}
}

func answerSearch(_ context.Context, req gateway.SearchRequest) gateway.SearchReply {
	return gateway.SearchReply{Result: outcome.Result{Code: outcome.Answered}, Snapshot: "v1",
		Coverage: gateway.Coverage{Answered: 1, Total: 1, Missing: []string{}}, Items: []json.RawMessage{req.Query}}
}

// startServer starts a server and shuts it down at the end of the test.
func startServer(t *testing.T, f *fakeBackend, o Options) (*Server, string) {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s := NewServer(nil, o, f, f, f)
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(context.Background()) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return s, addr.String()
}

// roundTrip sends raw bytes over a new connection and reads one reply. If raw ends
// with "half", it closes the sending side, so that the request stays truncated.
func roundTrip(t *testing.T, addr, raw string) (int, Reply) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // a test connection
	io.WriteString(c, raw)                         //nolint:errcheck // a failure shows in the reply
	if strings.HasSuffix(raw, "half") {
		c.(*net.TCPConn).CloseWrite() //nolint:errcheck // a failure shows in the reply
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var r Reply
	body, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(body, &r); err != nil {
		t.Fatalf("status %d, body %q: %v", resp.StatusCode, body, err)
	}
	return resp.StatusCode, r
}

func postRequest(path, contentType, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", path, contentType, len(body), body)
}

// Guards against malformed, oversized or slow requests that are passed on, that
// get something else than a JSON refusal with the right status and reason, or
// that leak a connection or goroutine (see TestMain).
func TestMalformedRequestsAreRefused(t *testing.T) {
	f := &fakeBackend{search: answerSearch}
	_, addr := startServer(t, f, Options{MaxBodyBytes: 300, ReadTimeout: 200 * time.Millisecond})
	search := func(body string) string { return postRequest("/v1/search", "application/json", body) }
	execute := func(body string) string { return postRequest("/v1/execute", "application/json", body) }
	for name, c := range map[string]struct {
		raw             string
		status          int
		reason          outcome.Reason
		messageContains string
	}{
		"unknown field":   {search(`{"search":"a","query":{},"class":"partial"}`), 400, "malformed", "class"},
		"trailing data":   {search(`{"search":"a","query":{}} {}`), 400, "malformed", "follows"},
		"two keys":        {execute(`{"operation":"o","key":"k","key":"l","body":{}}`), 400, "malformed", "twice"},
		"upper case":      {execute(`{"operation":"o","Key":"k","body":{}}`), 400, "malformed", "Key"},
		"no object":       {search(`null`), 400, "malformed", "object"},
		"wrong type":      {search(`{"search":1,"query":{}}`), 400, "malformed", "search"},
		"no search":       {search(`{"query":{}}`), 400, "malformed", "search is missing"},
		"no query":        {search(`{"search":"a","query":null}`), 400, "malformed", "query is missing"},
		"empty body":      {search(``), 400, "truncated", "truncated"},
		"cut JSON":        {search(`{"search":"a","qu`), 400, "truncated", "truncated"},
		"content type":    {postRequest("/v1/search", "text/plain", `{"search":"a","query":{}}`), 415, "malformed", "application/json"},
		"expired":         {search(`{"search":"a","query":{},"deadline_ms":0}`), 400, "expired", "deadline_ms"},
		"negative":        {execute(`{"operation":"o","key":"k","body":{},"deadline_ms":-5}`), 400, "expired", "deadline_ms"},
		"too late":        {search(`{"search":"a","query":{},"deadline_ms":30001}`), 400, "malformed", "30000"},
		"fractional":      {search(`{"search":"a","query":{},"deadline_ms":1.5}`), 400, "malformed", "deadline_ms"},
		"no key":          {execute(`{"operation":"o","body":{}}`), 400, "malformed", "key is missing"},
		"key with slash":  {execute(`{"operation":"o","key":"a/b","body":{}}`), 400, "malformed", "key may only"},
		"no operation":    {execute(`{"key":"k","body":{}}`), 400, "malformed", "operation is missing"},
		"no body":         {execute(`{"operation":"o","key":"k"}`), 400, "malformed", "body is missing"},
		"oversized":       {search(`{"search":"a","query":"` + strings.Repeat("x", 400) + `"}`), 413, "malformed", "too large"},
		"oversized chunk": {"POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n200\r\n" + strings.Repeat("x", 512) + "\r\n0\r\n\r\n", 413, "malformed", "too large"},
		"truncated":       {"POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 50\r\n\r\nhalf", 400, "truncated", "truncated"},
		"slow body":       {"POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 50\r\n\r\n{", 408, "timeout", "in time"},
		"method":          {"GET /v1/search HTTP/1.1\r\nHost: x\r\n\r\n", 405, "malformed", "method"},
		"path":            {"GET /v2 HTTP/1.1\r\nHost: x\r\n\r\n", 404, "not-found", "path"},
	} {
		t.Run(name, func(t *testing.T) {
			code, r := roundTrip(t, addr, c.raw)
			if code != c.status || r.Outcome != "invalid" || r.Reason != string(c.reason) || !strings.Contains(r.Message, c.messageContains) {
				t.Errorf("status %d, %+v", code, r)
			}
		})
	}
	if n := f.calls.Load(); n != 0 {
		t.Errorf("%d requests were passed on", n)
	}
}

// Guards against replies with the wrong name or HTTP status for an outcome, and
// against a draining instance that reports itself as ready.
func TestOutcomes(t *testing.T) {
	f := &fakeBackend{search: answerSearch, state: "draining"}
	_, addr := startServer(t, f, Options{})
	for _, c := range []struct {
		result  outcome.Result
		status  int
		outcome string
	}{
		{outcome.Result{Code: outcome.Answered, Body: []byte(`{"n":1}`)}, 200, "answered"},
		{outcome.Refused(outcome.ReasonCutOff), 503, "refused-not-run"},
		{outcome.Uncertain(outcome.ReasonTimeout), 504, "unknown"},
		{outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonKeyReused}, 409, "invalid"},
		{outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonNotFound}, 404, "invalid"},
	} {
		f.result = c.result
		for _, raw := range []string{postRequest("/v1/execute", "application/json; charset=utf-8", `{"operation":"o","key":"k","body":{}}`),
			"GET /v1/outcomes/k HTTP/1.1\r\nHost: x\r\n\r\n"} {
			code, r := roundTrip(t, addr, raw)
			if code != c.status || r.Outcome != c.outcome || r.Reason != string(c.result.Reason) || !bytes.Equal(r.Result, c.result.Body) || r.RequestID == "" {
				t.Errorf("%+v: status %d, %+v", c.result, code, r)
			}
		}
	}
	code, r := roundTrip(t, addr, postRequest("/v1/search", "application/json", `{"search":"a","query":{"q":1}}`))
	if code != 200 || r.Snapshot != "v1" || r.Coverage == nil || r.Coverage.Total != 1 || len(r.Items) != 1 {
		t.Errorf("status %d, %+v", code, r)
	}
	if _, r := roundTrip(t, addr, postRequest("/v1/keys", "application/json", "")); r.Key != "i1.k1" {
		t.Errorf("key: %+v", r)
	}
	if code, _ := roundTrip(t, addr, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"); code != 503 {
		t.Errorf("readyz while draining: %d", code)
	}
}

// Guards against a search that goes on after its caller closed the connection.
func TestDisconnectCancels(t *testing.T) {
	cancelled := make(chan struct{})
	started := make(chan struct{})
	f := &fakeBackend{search: func(ctx context.Context, _ gateway.SearchRequest) gateway.SearchReply {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return gateway.SearchReply{}
	}}
	_, addr := startServer(t, f, Options{})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, postRequest("/v1/search", "application/json", `{"search":"a","query":{}}`)) //nolint:errcheck // without the request, started stays open
	<-started
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(3 * time.Second):
		t.Fatal("the search was not cancelled")
	}
}

// Guards against a shutdown that aborts a request which would end in time, waits
// for idle connections or takes longer than its context allows. The second case
// has a request that outlasts the context and has to be aborted.
func TestShutdown(t *testing.T) {
	started := make(chan struct{}, 2)
	f := &fakeBackend{search: func(ctx context.Context, req gateway.SearchRequest) gateway.SearchReply {
		started <- struct{}{}
		time.Sleep(time.Until(req.Deadline))
		return answerSearch(ctx, req)
	}}
	for _, c := range []struct{ deadlineMS, shutdownMS int }{{200, 2000}, {700, 100}} {
		s, addr := startServer(t, f, Options{})
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		answered := make(chan bool, 1)
		go func() {
			resp, err := http.Post("http://"+addr+"/v1/search", "application/json", strings.NewReader(fmt.Sprintf(`{"search":"a","query":{},"deadline_ms":%d}`, c.deadlineMS)))
			if err == nil {
				resp.Body.Close()
			}
			answered <- err == nil && resp.StatusCode == 200
		}()
		<-started
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.shutdownMS)*time.Millisecond)
		start := time.Now()
		err = s.Shutdown(ctx)
		cancel()
		took, endsInTime := time.Since(start), c.deadlineMS < c.shutdownMS
		if (err == nil) != endsInTime || <-answered != endsInTime || took > time.Duration(min(c.deadlineMS, c.shutdownMS)+400)*time.Millisecond {
			t.Errorf("%+v: %v after %v", c, err, took)
		}
	}
	time.Sleep(600 * time.Millisecond) // until the handler of the aborted request ends
}

// Guards against metrics that are missing from /metrics and against log lines of
// Hertz that bypass the JSON log.
func TestMetricsAndLog(t *testing.T) {
	var out bytes.Buffer
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &out}}
	scope, handler, closer := NewMetrics(logger)
	f := &fakeBackend{}
	g := gateway.NewGateway(nil, state.NewStore(), f, nil, nil, nil, gateway.Options{Scope: scope})
	g.Search(context.Background(), gateway.SearchRequest{Search: "not declared"})
	g.ExecuteOnce(context.Background(), "r1", declare.Operation{Name: "order"}, nil, time.Now())
	closer.Close() //nolint:errcheck // reports the metrics a last time
	_, addr := startServer(t, f, Options{Metrics: handler})
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	for _, want := range []string{`gateway_queries{outcome="invalid",reason="not-found",search=""} 1`, `gateway_operations{operation="order",outcome="not-run",reason="no-replica"} 1`,
		`gateway_operation_latency_bucket{`, `gateway_latency_bucket{`, "gateway_budget_tokens 0"} {
		if !strings.Contains(string(body), want) {
			t.Errorf("%s is missing in %s", want, body)
		}
	}
	if out.Len() > 0 {
		t.Errorf("metrics left out: %s", out.Bytes())
	}
	http.DefaultClient.CloseIdleConnections()
	logs.RedirectHertz(logger)
	hlog.Warnf("slow %d", 7)
	logs.RedirectHertz(logs.OrDiscard(nil))
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line["message"] != "slow 7" || line["level"] != "warn" {
		t.Errorf("log line %s: %v", out.Bytes(), err)
	}
}
