package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/baobabsill/baobabsill/platform/platformtest"
)

// malformedHeads are what begins the answers of a replica in trouble. Each names the
// attempt and bears a signature like a proper answer.
var malformedHeads = map[string]string{
	"status 000":         "HTTP/1.1 000 x\r\n%s",
	"000, not run":       "HTTP/1.1 000 x\r\n%s" + platformtest.HeaderNotRun + ": 1\r\n",
	"status 099":         "HTTP/1.1 099 x\r\n%s",
	"status +20":         "HTTP/1.1 +20 OK\r\n%s",
	"status 101":         "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n%s",
	"status 600":         "HTTP/1.1 600 x\r\n%s",
	"status 999":         "HTTP/1.1 999 x\r\n%s",
	"coding in HTTP/1.0": "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n",
	"version 7.3":        "HTTP/7.3 200 OK\r\n%s",
	"version 2.0":        "HTTP/2.0 200 OK\r\n%s",
	"version 0.9":        "HTTP/0.9 200 OK\r\n%s",

	"blank in a name":       "HTTP/1.1 200 OK\r\n%sX Odd: 1\r\n",
	"blank after a name":    "HTTP/1.1 200 OK\r\n%sX-Odd : 1\r\n",
	"blank before a name":   "HTTP/1.1 200 OK\r\n%sX-A: b\r\n X-Odd: 1\r\n",
	"tab before a name":     "HTTP/1.1 200 OK\r\n%sX-A: b\r\n\tX-Odd: 1\r\n",
	"blank, then length":    "HTTP/1.1 200 OK\r\n%sX-A: b\r\n Content-Length: 20\r\n",
	"blank after signature": "HTTP/1.1 200 OK\r\n%s X-Odd: 1\r\n",
	"blank in the first":    "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n%s",
	"blank as a name":       "HTTP/1.1 200 OK\r\n%sX-A: b\r\n : 1\r\n",
	"after early hints":     "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n%sX-A: b\r\n X-Odd: 1\r\n",
	"tab in a name":         "HTTP/1.1 200 OK\r\n%sX\tOdd: 1\r\n",
	"NUL in a name":         "HTTP/1.1 200 OK\r\n%sX\x00Odd: 1\r\n",
	"DEL in a name":         "HTTP/1.1 200 OK\r\n%sX-Odd\x7f: 1\r\n",
	"escape before a name":  "HTTP/1.1 200 OK\r\n%s\x1bX-Odd: 1\r\n",
	"CR in a name":          "HTTP/1.1 200 OK\r\n%sX\rOdd: 1\r\n",
	"blank in the length":   "HTTP/1.1 200 OK\r\n%sContent-Length : 8\r\n",
	"blank in the encoding": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n",
	"not run, with a blank": "HTTP/1.1 503 x\r\n%s" + platformtest.HeaderNotRun + ": 1\r\nX Odd: 1\r\n",
	"another, with a blank": "HTTP/1.1 421 x\r\n%sX Odd: 1\r\n",
}

// answerWithHead returns a function that answers an attempt with a head, in which %s stands
// for the attempt's ID and a signature, and a body of 16 bytes.
func answerWithHead(head string) func(attempt string) string {
	return func(attempt string) string {
		fields := fmt.Sprintf("%s: %s\r\n%s: odd-signature\r\n", platformtest.HeaderAttempt, attempt, platformtest.HeaderStamp)
		return fmt.Sprintf(head, fields) + "\r\n" + strings.Repeat("z", 16)
	}
}

// Guards callers against an answer that HTTP does not allow: what it says, and where it
// ends, is unknown. The order may have run, and must not run again.
func TestMalformedAnswerReachesNoCaller(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			troubled, healthy := d.replicas[0], d.replicas[1]
			troubled.AnswerRaw(answerWithHead(head))
			status, header, body := d.send("POST", "/one/x", "order")
			if status != http.StatusBadGateway || header.Get(platformtest.HeaderStamp) != "" || strings.Contains(body, "z") || troubled.Runs("a1") != 1 {
				t.Errorf("order: %d %v %q, ran %d times", status, header, body, troubled.Runs("a1"))
			}
			status, header, body = d.send("GET", "/all/x", "")
			parts := header.Values(platformtest.HeaderParts)
			if status != http.StatusOK || !slices.Equal(parts, []string{healthy.ID + ".a1"}) || strings.Contains(body, "z") {
				t.Errorf("query: %d %v %q", status, parts, body)
			}
		})
	}
}

// Guards against rejecting proper answers of the same kind, which HTTP/1 allows.
func TestUnusualAnswerIsForwarded(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n%s", "HTTP/1.0 200 OK\r\n%s", "HTTP/1.1 200\r\n%s", "HTTP/1.1 299 x\r\n%sX-A:\r\n",
		"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n%sX-A:  b \r\n",
	} {
		d := deploy(t)
		d.replicas[0].AnswerRaw(answerWithHead(head))
		status, header, body := d.send("POST", "/one/x", "order")
		if status/100 != 2 || header.Get(platformtest.HeaderStamp) != "odd-signature" || body != strings.Repeat("z", 16) {
			t.Errorf("%q: %d %v %q", head, status, header, body)
		}
	}
}
