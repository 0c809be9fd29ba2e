//go:build crowds

package crowds

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
)

// endpoint is one listener of an instance.
type endpoint struct {
	address string // IP:port
	// request is the request line and the Host field of a request with a body.
	request string
	// headBytes and bodyBytes are limits within which a client stays.
	headBytes, bodyBytes int
	// ask sends one ordinary request on a new connection and checks its answer.
	ask func() error
}

// deployment is an instance with what it needs, and the listeners of the instance.
type deployment struct {
	process   *harness.Process
	tail      func() string // the last lines of the log
	endpoints map[string]endpoint
}

// checkBounds checks that the process lives, what it has held at most, and that it
// answers one ordinary request at each listener while the crowds are still there.
func (d *deployment) checkBounds(t *testing.T) {
	t.Helper()
	if d.process.HasEnded() {
		t.Fatalf("the process has ended: %v\n%s", d.process.Err(), d.tail())
	}
	descriptors, err := openDescriptors(d.process.Pid())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d descriptors are open", descriptors)
	for name, e := range d.endpoints {
		if err := askUntilAnswered(e, d.process); err != nil {
			t.Errorf("%s: no ordinary request is answered: %v\n%s", name, err, d.tail())
		}
	}
	memory, err := peakMemory(d.process.Pid())
	if err != nil {
		t.Fatalf("%v\n%s", err, d.tail())
	}
	t.Logf("the process has held %d MB", memory/1_000_000)
	if memory > memoryBound {
		t.Errorf("the process has held %d MB, its machine has %d MB", memory/1_000_000, memoryBound/1_000_000)
	}
}

// askUntilAnswered sends ordinary requests, one after the other, until one is answered.
func askUntilAnswered(e endpoint, p *harness.Process) error {
	for end := time.Now().Add(answerTimeout); ; time.Sleep(50 * time.Millisecond) {
		err := e.ask()
		if err == nil {
			return nil
		}
		if p.HasEnded() {
			return errors.Join(errors.New("the process has ended"), p.Err())
		}
		if time.Now().After(end) {
			return err
		}
	}
}

// askHTTP sends one request and checks the status of its answer.
func askHTTP(req *http.Request) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// misbehaviour is a crowd of clients of one kind at one listener.
type misbehaviour struct {
	name    string
	clients int
	send    func(e endpoint) script
}

// chunkedBody is a request with a chunked body in chunks of one length, without its end.
func chunkedBody(e endpoint, length int) string {
	return e.request + "Transfer-Encoding: chunked\r\n\r\n" + chunks(e.bodyBytes-length, length)
}

// misbehaviours are what clients of a listener for HTTP/1 send. Those from "slow heads"
// on stay within each limit.
var misbehaviours = []misbehaviour{
	{"endless heads", 100, func(e endpoint) script { return repeat(e.request, fields(1<<10), endless) }},
	{"endless request lines", 100, func(endpoint) script { return repeat("GET /", "a", endless) }},
	{"empty lines", 100, func(endpoint) script { return repeat("", "\r\n", endless) }},
	{"empty lines after a request", 100, func(e endpoint) script {
		return repeat(e.request+"Content-Length: 0\r\n\r\n", "\r\n", endless)
	}},
	{"endless trailers", 50, func(e endpoint) script {
		return repeat(e.request+"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n", fields(1<<10), endless)
	}},
	{"endless chunk sizes", 100, func(e endpoint) script {
		return repeat(e.request+"Transfer-Encoding: chunked\r\n\r\n1", " ", endless)
	}},
	{"slow heads", 100, func(e endpoint) script {
		return slowly(e.request + fields(min(e.headBytes, 15<<10)-1<<10))
	}},
	{"slow heads behind a request", 100, func(e endpoint) script {
		return slowly(e.request + "Content-Length: 0\r\n\r\n" + e.request + fields(min(e.headBytes, 15<<10)-1<<10))
	}},
	{"slow trailers", 100, func(e endpoint) script {
		return slowly(e.request + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields(min(e.headBytes, 15<<10)-1<<10))
	}},
	{"heads of many fields", 500, func(e endpoint) script {
		return atOnce(e.request + strings.Repeat("a:\r\n", min(e.headBytes, 15<<10)/4))
	}},
	{"bodies in one chunk", 600, func(e endpoint) script {
		return atOnce(strings.TrimSuffix(chunkedBody(e, e.bodyBytes/2), "b\r\n"))
	}},
	{"bodies in chunks of one byte", 200, func(e endpoint) script { return atOnce(chunkedBody(e, 1)) }},
	{"bodies with a length", 900, func(e endpoint) script {
		return atOnce(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", e.request, e.bodyBytes, strings.Repeat("b", e.bodyBytes-1)))
	}},
	{"reconnections", 50, func(e endpoint) script {
		head := e.request + strings.Repeat("a:\r\n", min(e.headBytes, 15<<10)/4) + "a b:\r\n\r\n"
		return func(c net.Conn) error {
			for range 200 {
				if err := sendOnce(c.RemoteAddr().String(), head); err != nil {
					return err
				}
			}
			return nil
		}
	}},
	{"unread answers", 300, func(e endpoint) script {
		return repeat("", e.request+"Content-Length: 0\r\n\r\n", 1<<20)
	}},
	{"idle after a large body", 600, func(e endpoint) script {
		body := chunkedBody(e, e.bodyBytes/2) + "0\r\n\r\n"
		return func(c net.Conn) error {
			if err := atOnce(body)(c); err != nil {
				return err
			}
			return readAnswer(c)
		}
	}},
	{"idle after a large head", 600, func(e endpoint) script {
		head := e.request + fields(min(e.headBytes, 15<<10)-1<<10) + "Content-Length: 0\r\n\r\n"
		return func(c net.Conn) error {
			if err := atOnce(head)(c); err != nil {
				return err
			}
			return readAnswer(c)
		}
	}},
}

// find returns the misbehaviours with the given names, all if there are none.
func find(t *testing.T, names ...string) []misbehaviour {
	if len(names) == 0 {
		return misbehaviours
	}
	var found []misbehaviour
	for _, m := range misbehaviours {
		for _, name := range names {
			if m.name == name {
				found = append(found, m)
			}
		}
	}
	if len(found) != len(names) {
		t.Fatalf("%d of %d misbehaviours are known", len(found), len(names))
	}
	return found
}

// starter starts an instance, by a launcher if there is one.
type starter func(t *testing.T, launcher []string) *deployment

// runCrowds opens each of the crowds at one listener of an instance of its own.
func runCrowds(t *testing.T, start starter, listener string, names ...string) {
	for _, m := range find(t, names...) {
		t.Run(m.name, func(t *testing.T) {
			d := start(t, nil)
			e := d.endpoints[listener]
			openCrowd(t, e.address, m.clients, m.send(e))
			d.checkBounds(t)
		})
	}
}
