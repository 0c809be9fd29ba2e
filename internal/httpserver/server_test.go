package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/listener"
)

const (
	testHeadBytes = 8 << 10
	testBodyBytes = 64 << 10
	testTimeout   = 5 * time.Second
)

// testServer answers each request with its path and the length of its body.
type testServer struct {
	address string
	budget  *admission.Budget
	// cancelled gets a value when a request to /wait is cancelled.
	cancelled chan struct{}
}

func startServer(t *testing.T, limits admission.Limits) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: ln.Addr().String(), budget: admission.NewBudget("test", limits), cancelled: make(chan struct{}, 1)}
	bounded := listener.New(admission.NewListener(&log.Logger{Level: log.ErrorLevel}, ln, s.budget, ConnBytes), listener.Options{
		ReadTimeout: testTimeout, Overloaded: []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
	})
	h := New(Options{
		Listener: bounded, Limits: func() Limits { return Limits{Head: testHeadBytes, Body: testBodyBytes} },
		Refuse:      func(c *app.RequestContext, status int) { c.SetStatusCode(status) },
		ReadTimeout: testTimeout, IdleTimeout: testTimeout,
	})
	h.Use(func(ctx context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/wait" {
			<-ctx.Done()
			s.cancelled <- struct{}{}
		}
		c.String(http.StatusOK, "%s %d", c.Path(), len(c.Request.Body()))
		c.Abort()
	})
	h.NoRoute(func(context.Context, *app.RequestContext) {})
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	t.Cleanup(func() {
		bounded.Close()
		bounded.CloseConns()
		<-done
	})
	return s
}

var largeLimits = admission.Limits{Conns: 100, Bytes: 32 << 20}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange sends the segments one by one on a connection and returns the status and the
// body of each of n answers.
func (s *testServer) exchange(t *testing.T, n int, segments ...string) []string {
	t.Helper()
	c := s.dial(t)
	go func() {
		for _, segment := range segments {
			if _, err := io.WriteString(c, segment); err != nil {
				return
			}
			time.Sleep(time.Millisecond) // keeps the segments apart
		}
	}()
	var answers []string
	for r := bufio.NewReader(c); len(answers) < n; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d of %d: %v", len(answers)+1, n, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, fmt.Sprintf("%d %s", resp.StatusCode, body))
	}
	return answers
}

func post(path, fields, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

func chunked(path, body string) string {
	return post(path, "Transfer-Encoding: chunked\r\n", body)
}

// Guards against a buffer that loses, repeats or holds back bytes, wherever the segments
// of requests on one connection end.
func TestRequestsInAnySegments(t *testing.T) {
	s := startServer(t, largeLimits)
	for _, request := range []string{post("/a", "Content-Length: 3\r\n", "abc"), chunked("/a", "3\r\nabc\r\n0\r\n\r\n")} {
		for i := range len(request) {
			if got := s.exchange(t, 1, request[:i], request[i:])[0]; got != "200 /a 3" {
				t.Fatalf("%q split at %d: answer %q", request, i, got)
			}
		}
	}
	requests := post("/a", "Content-Length: 3\r\n", "abc") + chunked("/b", "2\r\nab\r\n1\r\nc\r\n0\r\nx-t: v\r\n\r\n") +
		"GET /c HTTP/1.1\r\nHost: h\r\n\r\n" + post("/d", "Content-Length: 0\r\n", "")
	want := []string{"200 /a 3", "200 /b 3", "200 /c 0", "200 /d 0"}
	for i := range len(requests) {
		if got := s.exchange(t, len(want), requests[:i], requests[i:]); strings.Join(got, "|") != strings.Join(want, "|") {
			t.Fatalf("split at %d: answers %q", i, got)
		}
	}
	if got := s.exchange(t, len(want), strings.Split(requests, "")...); strings.Join(got, "|") != strings.Join(want, "|") {
		t.Errorf("byte by byte: answers %q", got)
	}
}

// Guards against a client that waits in vain to be told to send its body.
func TestExpectContinue(t *testing.T) {
	s := startServer(t, largeLimits)
	got := s.exchange(t, 2, post("/a", "Expect: 100-continue\r\nContent-Length: 3\r\n", ""), "abc")
	if got[0] != "100 " || got[1] != "200 /a 3" {
		t.Errorf("answers %q", got)
	}
}

// Guards against requests that are refused within the limits, or served or answered late
// beyond them.
func TestLimitsOfOneRequest(t *testing.T) {
	s := startServer(t, largeLimits)
	body := strings.Repeat("b", testBodyBytes)
	field := func(size int) string { return "x: " + strings.Repeat("v", size) + "\r\n" }
	for name, c := range map[string]struct {
		request, want string
	}{
		"body of the limit":          {post("/", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body), fmt.Sprintf("200 / %d", len(body))},
		"body above":                 {post("/", fmt.Sprintf("Content-Length: %d\r\n", len(body)+1), body), "413 "},
		"chunked body of the limit":  {chunked("/", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)), fmt.Sprintf("200 / %d", len(body))},
		"chunks of one byte":         {chunked("/", strings.Repeat("1\r\nb\r\n", len(body))+"0\r\n\r\n"), fmt.Sprintf("200 / %d", len(body))},
		"chunked body above":         {chunked("/", fmt.Sprintf("%x\r\n%sb\r\n0\r\n\r\n", len(body)+1, body)), "413 "},
		"chunk size without end":     {chunked("/", "1"+strings.Repeat(" ", maxChunkOverhead*(testBodyBytes+2*bufferBytes))), "413 "},
		"head of the limit":          {"GET / HTTP/1.1\r\nHost: h\r\n" + field(testHeadBytes-33) + "\r\n", "200 / 0"},
		"head above":                 {"GET / HTTP/1.1\r\nHost: h\r\n" + field(testHeadBytes) + "\r\n", "431 Request Header Fields Too Large"},
		"trailers above":             {chunked("/", "0\r\n"+field(testHeadBytes)+"\r\n"), "431 "},
		"line without a colon":       {"GET / HTTP/1.1\r\nHost: h\r\nmalformed\r\n\r\n", "400 Error when parsing request"},
		"trailer without a colon":    {chunked("/", "0\r\nmalformed\r\n\r\n"), "400 "},
		"empty line before the head": {"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "400 Error when parsing request"},
		"chunk of a malformed size":  {chunked("/", "x\r\n"), "400 "},
	} {
		t.Run(name, func(t *testing.T) {
			if got := s.exchange(t, 1, c.request)[0]; got != c.want {
				t.Errorf("answer %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a request with a body that goes on after its client has disconnected.
func TestDisconnectCancelsRequestWithBody(t *testing.T) {
	s := startServer(t, largeLimits)
	for _, request := range []string{post("/wait", "Content-Length: 1\r\n", "b"), chunked("/wait", "1\r\nb\r\n0\r\n\r\n"), "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c := s.dial(t)
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		c.Close()
		select {
		case <-s.cancelled:
		case <-time.After(testTimeout):
			t.Fatalf("%q is not cancelled", request)
		}
	}
}

// Guards against a listener that is full of clients that wait, and takes no others: those
// that have waited the longest get 408 and give way.
func TestSlowClientsGiveWay(t *testing.T) {
	s := startServer(t, admission.Limits{Conns: 2, Bytes: 1 << 20})
	slow := s.dial(t)
	if _, err := io.WriteString(slow, post("/", "Content-Length: 10\r\n", "b")); err != nil {
		t.Fatal(err)
	}
	for range 2 * 2 {
		if got := s.exchange(t, 1, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")[0]; got != "200 / 0" {
			t.Errorf("answer %q", got)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("the slow client gets %v, %v", resp, err)
	}
}

// Guards against a request for which there is no room and that is not refused as such, or
// whose room is not given back.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	s := startServer(t, admission.Limits{Conns: 2, Bytes: 2*ConnBytes + testBodyBytes/2})
	body := strings.Repeat("b", testBodyBytes)
	if got := s.exchange(t, 1, post("/", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body))[0]; got != "503 " {
		t.Errorf("body: answer %q", got)
	}
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", testHeadBytes/8) + "\r\n"
	if got := s.exchange(t, 1, head)[0]; got != "503 " {
		t.Errorf("head: answer %q", got)
	}
	for end := time.Now().Add(testTimeout); s.budget.Used() != (admission.Limits{}); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v is still held", s.budget.Used())
		}
	}
}

// Guards against request contexts that come back to a pool, with the memory of the largest
// header that they ever held.
func TestContextsAreNotReused(t *testing.T) {
	core := freshContexts{pooledCore{pool: &sync.Pool{New: func() any { return new(app.RequestContext) }}}}
	first := core.GetCtxPool().Get().(*app.RequestContext)
	core.GetCtxPool().Put(first)
	if core.GetCtxPool().Get().(*app.RequestContext) == first {
		t.Error("a context is used again")
	}
}

// pooledCore is an engine with a pool of contexts.
type pooledCore struct {
	suite.Core
	pool *sync.Pool
}

func (c pooledCore) GetCtxPool() *sync.Pool { return c.pool }
