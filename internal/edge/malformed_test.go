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
	"status 000": "HTTP/1.1 000 x\r\n%s",
	"status 099": "HTTP/1.1 099 x\r\n%s",
	"status +20": "HTTP/1.1 +20 OK\r\n%s",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n%s",
	"status 600": "HTTP/1.1 600 x\r\n%s",
	"status 999": "HTTP/1.1 999 x\r\n%s",
}

// Guards callers against an answer that HTTP does not allow: what it says, and where it
// ends, is unknown. The order may have run, and must not run again.
func TestMalformedAnswerReachesNoCaller(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			troubled, healthy := d.replicas[0], d.replicas[1]
			troubled.AnswerRaw(func(attempt string) string {
				fields := fmt.Sprintf("%s: %s\r\n%s: odd-signature\r\n", platformtest.HeaderAttempt, attempt, platformtest.HeaderStamp)
				return fmt.Sprintf(head, fields) + "\r\n" + strings.Repeat("z", 16)
			})
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
