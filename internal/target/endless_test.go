package target

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/exchange/exchangetest"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// A target in trouble may send bytes without end, in a head or in a body, until the caller
// closes the connection. Guards against requests that keep what they read until the
// process runs out of memory, and that do not end before their deadline.
func TestRepliesWithoutEnd(t *testing.T) {
	const targets = 24
	filler := strings.Repeat(" ", 32<<10)
	for name, tc := range map[string]struct {
		start    func(r *http.Request) string
		repeated string
	}{
		"status line": {func(*http.Request) string { return "" }, filler},
		"field": {func(r *http.Request) string {
			return replyStart(r, "200 OK") + "X-A: "
		}, filler},
		"interim":       {func(*http.Request) string { return "" }, "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"body to close": {func(r *http.Request) string { return replyStart(r, "200 OK") + "\r\n" }, filler},
		"chunks": {func(r *http.Request) string {
			return replyStart(r, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n"
		}, fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)},
		"refusal": {func(r *http.Request) string { return replyStart(r, "503 x") + "X-Outcome: shed\r\n\r\n" }, filler},
	} {
		t.Run(name, func(t *testing.T) {
			repeated := []byte(tc.repeated)
			address := exchangetest.Listen(t, func(_ int, c net.Conn) {
				go exchangetest.Serve(c, func(r *http.Request) bool {
					exchangetest.WriteWithoutEnd(c, tc.start(r), repeated)
					return false
				})
			}).Addr().String()
			pool := NewPool(nil, nil, Options{LocalIP: net.IPv4(127, 0, 0, 1)})
			defer pool.Close()
			peak := exchangetest.WatchMemory(t)
			var done sync.WaitGroup
			for i := range targets {
				done.Go(func() {
					target := state.Target{Name: fmt.Sprint("t", i), Address: address}
					request := (&harness{}).newRequest(fmt.Sprint("a", i), 2*time.Second)
					r := pool.Do(t.Context(), target, declare.Service{Slots: 1}, request, admitAll)
					if r.Code == outcome.Answered {
						t.Error("answered")
					}
					if late := time.Since(request.Deadline); late > 500*time.Millisecond {
						t.Errorf("ended %v after its deadline", late)
					}
				})
			}
			done.Wait()
			if used := peak(); used > exchangetest.MaxEndlessMemory {
				t.Errorf("%d replies took %d MB, want %d at most", targets, used>>20, exchangetest.MaxEndlessMemory>>20)
			}
		})
	}
}

// replyStart returns the status line and the first fields of a reply.
func replyStart(r *http.Request, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Type: application/json\r\n",
		status, r.Header.Get("X-Request-Id"), r.Header.Get("X-Attempt-Id"))
}
