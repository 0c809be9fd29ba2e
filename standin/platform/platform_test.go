package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func call(t *testing.T, srv *httptest.Server, method, path, ifMatch, body string) (int, map[string]any) {
	t.Helper()
	req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := srv.Client().Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var out map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, out
}

// Guards against lost updates: a write or a deletion that names an older version
// than the current one must be refused and change nothing.
func TestConditionalUpdate(t *testing.T) {
	srv := httptest.NewServer(New())
	defer srv.Close()
	for i, step := range []struct {
		method, ifMatch, body string
		code                  int
		version               float64
	}{
		{"PUT", "0", `{"a":1}`, 200, 1},
		{"PUT", "0", `{"a":2}`, 409, 1},
		{"PUT", "1", `{"a":3}`, 200, 2},
		{"DELETE", "1", "", 409, 2},
		{"DELETE", "2", "", 200, 3},
		{"PUT", "2", `{}`, 409, 0},
		{"PUT", "0", `{}`, 200, 4},
		{"PUT", "4", `"` + strings.Repeat("x", maxValueBytes) + `"`, 413, -1},
	} {
		code, out := call(t, srv, step.method, "/objects/config/main", step.ifMatch, step.body)
		if code != step.code || (step.version >= 0 && out["version"] != step.version) {
			t.Fatalf("step %d: got %d %v, want %d version %v", i, code, out, step.code, step.version)
		}
	}
}

// Guards against a fault that loses the write together with its answer, so that
// tests never see an unknown outcome that took effect, and against a fault that
// hits more writes than asked for.
func TestLostAnswerTakesEffect(t *testing.T) {
	p := New()
	srv := httptest.NewServer(p)
	defer srv.Close()
	n := 1
	p.SetFault(Fault{LoseAnswers: &n})
	if code, _ := call(t, srv, "PUT", "/objects/once/k", "0", `{}`); code != 0 {
		t.Fatalf("the answer arrived with %d", code)
	}
	if code, out := call(t, srv, "GET", "/objects/once/k", "", ""); code != 200 || out["version"] != 1.0 {
		t.Fatalf("got %d %v after the lost answer", code, out)
	}
	if code, _ := call(t, srv, "PUT", "/objects/once/k", "1", `{}`); code != 200 {
		t.Fatalf("second write: %d", code)
	}
}

// Guards against watches that answer before a change of their kinds, miss a
// deletion, outlast an outage, or start from a revision whose later changes were
// dropped.
func TestWatch(t *testing.T) {
	p := New()
	srv := httptest.NewServer(p)
	defer srv.Close()
	call(t, srv, "PUT", "/objects/a/x", "0", `1`)
	call(t, srv, "PUT", "/objects/other/x", "0", `1`)
	got := make(chan string, 1)
	watch := func(since int) {
		code, out := call(t, srv, "GET", fmt.Sprintf("/objects/a,b?watch=1&since=%d&timeout_ms=2000", since), "", "")
		got <- fmt.Sprint(code, " ", out["items"])
	}
	go watch(2)
	time.Sleep(50 * time.Millisecond)
	call(t, srv, "PUT", "/objects/other/y", "0", `1`)
	select {
	case s := <-got:
		t.Fatalf("answered without a change: %s", s)
	case <-time.After(50 * time.Millisecond):
	}
	call(t, srv, "DELETE", "/objects/a/x", "1", "")
	if s := <-got; !strings.HasPrefix(s, "200 [map[deleted:true kind:a name:x") {
		t.Fatal(s)
	}
	go watch(4)
	time.Sleep(20 * time.Millisecond)
	down := true
	p.SetFault(Fault{Down: &down})
	if s := <-got; !strings.HasPrefix(s, "503") {
		t.Fatal(s)
	}
	down = false
	p.SetFault(Fault{Down: &down, Compact: true})
	watch(3)
	if s := <-got; !strings.HasPrefix(s, "410") {
		t.Fatal(s)
	}
}

// Guards against an instance list that shows a change before the lag has passed
// or never, and against a cut that lets the calls of its source through.
func TestListLagAndCut(t *testing.T) {
	p := New()
	srv := httptest.NewServer(p)
	defer srv.Close()
	p.UpdateInstances(InstancesUpdate{Items: []ListedTarget{{Name: "t1", State: "live"}}})
	lag := 150
	p.SetFault(Fault{ListLagMS: &lag})
	if _, out := call(t, srv, "GET", "/instances", "", ""); len(out["items"].([]any)) != 0 {
		t.Fatalf("visible before the lag: %v", out)
	}
	time.Sleep(200 * time.Millisecond)
	if _, out := call(t, srv, "GET", "/instances", "", ""); len(out["items"].([]any)) != 1 {
		t.Fatalf("not visible after the lag: %v", out)
	}
	p.SetFault(Fault{Cut: &[]string{"127.0.0."}})
	if code, _ := call(t, srv, "GET", "/instances", "", ""); code != 0 {
		t.Fatalf("cut source got %d", code)
	}
}
