package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/settings"
	"github.com/baobabsill/baobabsill/platform/platformtest"
)

// deployment is an instance with stand-ins for the users' platform.
type deployment struct {
	t            testing.TB
	store        *platformtest.Store
	replicas     []*platformtest.Replica
	instance     platformtest.Instance
	settingsPath string
	reloadSignal chan os.Signal
	stop         context.CancelFunc
	runResult    chan error
}

func (d *deployment) writeSettings(maxInFlight int) {
	d.t.Helper()
	d.instance.MaxInFlight = maxInFlight
	d.instance.WriteSettings(d.t, d.settingsPath, d.store.Address())
}

// newDeployment returns a deployment without replicas. Its instance is not started.
func newDeployment(t testing.TB) *deployment {
	d := &deployment{
		t: t, store: platformtest.NewStore(t), settingsPath: filepath.Join(t.TempDir(), "settings.ini"),
		instance: platformtest.NewInstance(t, "d1", "near", "127.0.0.1"), reloadSignal: make(chan os.Signal, 1), runResult: make(chan error, 1),
	}
	d.instance.Contact, d.instance.Grace = time.Second, 2*time.Second
	d.writeSettings(100)
	return d
}

// deploy starts an instance with one replica for each of the services s and t.
func deploy(t *testing.T) *deployment {
	d := newDeployment(t)
	for i, service := range []string{"s", "t"} {
		r := platformtest.NewReplica(t, service+"-1", service, "near", strings.Repeat(string(rune('a'+i)), 16)+strings.Repeat("0", 16)+"rest")
		d.replicas = append(d.replicas, r)
		d.store.Put(platformtest.KindReplicas, r.ID, r.Spec("ready"))
	}
	d.store.Put(platformtest.KindConfig, "main", platformtest.Config(1, "s", "t"))
	d.start()
	return d
}

func (d *deployment) start() {
	d.t.Helper()
	s, faults := settings.LoadEdge(d.settingsPath)
	if len(faults) > 0 {
		d.t.Fatal(faults)
	}
	daemon, err := New(logs.OrDiscard(nil), logs.NewQueue(io.Discard), s, d.settingsPath, d.reloadSignal)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.runResult <- daemon.Run(ctx, context.Background()) }()
	d.t.Cleanup(stop)
	d.eventually("ready", d.instance.IsReady)
}

func (d *deployment) eventually(what string, f func() bool) {
	d.t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("never %s", what)
		}
	}
}

// operatorPage returns the page of the operators' server at a path.
func (d *deployment) operatorPage(path string) string {
	d.t.Helper()
	resp, err := http.Get("http://" + d.instance.MetricsAddress + path)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return string(data)
}

// connect returns a connection of a caller, which is closed at the end of the test.
func (d *deployment) connect() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.instance.CallerAddress)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	return c
}

func (d *deployment) request(method, path, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+d.instance.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, "a1")
	req.Header.Set(platformtest.HeaderDeadline, "900")
	return req
}

func (d *deployment) send(method, path, body string) (int, http.Header, string) {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(d.request(method, path, body))
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(data)
}

// Guards against parts that work alone and fail together: a query and an order over
// the platform's protocols, refusals, metrics and status, a new configuration, an
// outage of the store, an evacuation, and a stop that deregisters the instance.
func TestEndToEnd(t *testing.T) {
	d := deploy(t)
	status, header, body := d.send("GET", "/all/x", "")
	if status != 200 || body != strings.Repeat("b", 16)+strings.Repeat("a", 16) {
		t.Errorf("query: %d %q", status, body)
	}
	if header.Get(platformtest.HeaderParts) != "s-1.a1, t-1.a1" || header.Get(platformtest.HeaderMissing) != "0" {
		t.Errorf("query: %v", header)
	}
	if status, header, body = d.send("POST", "/one/x", "order"); status != 200 || header.Get(platformtest.HeaderStamp) != "s-1.a1" || len(body) != 36 {
		t.Errorf("order: %d %v %q", status, header, body)
	}
	if status, _, _ = d.send("GET", "/none/x", ""); status != 404 {
		t.Errorf("unknown path: %d", status)
	}
	if status, _, _ = d.send("POST", "/one/x", strings.Repeat("x", 2000)); status != 413 {
		t.Errorf("large body: %d", status)
	}

	d.eventually("counted", func() bool {
		text := d.operatorPage("/metrics")
		return strings.Contains(text, `baobabsill_answers{outcome="merged"} 1`) && strings.Contains(text, "baobabsill_request_seconds_bucket")
	})
	if text := d.operatorPage("/status"); !strings.Contains(text, `"config_version":1`) {
		t.Errorf("status: %s", text)
	}

	d.store.Put(platformtest.KindConfig, "main", platformtest.Config(2, "s"))
	d.eventually("on version 2", func() bool {
		_, h, _ := d.send("GET", "/all/x", "")
		return h.Get(platformtest.HeaderParts) == "s-1.a1"
	})
	d.store.SetUnavailable(true)
	if status, _, _ = d.send("GET", "/all/x", ""); status != 200 {
		t.Errorf("without the store: %d", status)
	}
	d.store.SetUnavailable(false)
	d.store.Put(platformtest.KindEvacuations, "near", map[string]any{})
	d.eventually("evacuated", func() bool {
		status, h, _ := d.send("POST", "/one/x", "order")
		return status == 503 && h.Get("Retry-After") != ""
	})

	d.stop()
	d.eventually("not ready", func() bool { return !d.instance.IsReady() })
	if err := <-d.runResult; err != nil {
		t.Errorf("stop: %v", err)
	}
	if names := d.store.Names(platformtest.KindInstances); len(names) != 0 {
		t.Errorf("still listed: %v", names)
	}
}

// Guards against a stop that cuts off requests on open connections, and against
// callers that keep their connections to a stopping instance.
func TestStopAnswersWhatWasRead(t *testing.T) {
	d := deploy(t)
	d.replicas[0].SetRunTime(500 * time.Millisecond)
	c := d.connect()
	br := bufio.NewReader(c)
	for i := range 2 {
		if i == 1 {
			d.stop()
			time.Sleep(50 * time.Millisecond)
		}
		if err := d.request("POST", "/one/x", "order").Write(c); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != (i == 1) {
			t.Errorf("request %d: %d, closes: %v", i, resp.StatusCode, resp.Close)
		}
	}
	if err := <-d.runResult; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// Guards against request smuggling: where a header gives the length of its body
// ambiguously, part of the body could be read as a second request.
func TestAmbiguousLengthsAreRefused(t *testing.T) {
	d := deploy(t)
	smuggled := "0\r\n\r\nPOST /one/y HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\n\r\n"
	for name, fields := range map[string]string{
		"length and chunks": "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks and length": "transfer-encoding: chunked\r\ncontent-length: 60\r\n\r\n",
		"two lengths":       "Content-Length: 60\r\nContent-Length: 5\r\n\r\n",
		"space in name":     "Content-Length : 60\r\n\r\n",
		"bare line end":     "X-A: b\nContent-Length: 60\r\n\r\n",
	} {
		c := d.connect()
		if _, err := io.WriteString(c, "POST /one/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"+fields+smuggled); err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).CloseWrite() //nolint:errcheck // the answer shows a failure
		data, _ := io.ReadAll(c)
		c.Close()
		if !bytes.HasPrefix(data, []byte("HTTP/1.1 400")) || bytes.Count(data, []byte("HTTP/1.1")) != 1 {
			t.Errorf("%s: answer %q", name, data)
		}
	}
	if n := d.replicas[0].CompletedRequests.Load(); n != 0 {
		t.Errorf("%d requests reached the replica", n)
	}
}

// Guards against replicas that go on working on a request after its caller has
// closed the connection.
func TestLeavingCallerCancelsItsRequest(t *testing.T) {
	d := deploy(t)
	d.replicas[0].SetRunTime(700 * time.Millisecond)
	c := d.connect()
	if err := d.request("POST", "/one/x", "order").Write(c); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	c.Close()
	time.Sleep(time.Second)
	if n := d.replicas[0].CompletedRequests.Load(); n != 0 {
		t.Error("the replica completed the request after its caller had left")
	}
}

// Guards against a reload signal that ends the process, against settings with
// faults that are put in force, and against a changed file that is not reloaded
// without a signal.
func TestSettingsAreReloaded(t *testing.T) {
	d := deploy(t)
	d.writeSettings(0) // out of range: the current settings stay in force
	d.reloadSignal <- os.Interrupt
	time.Sleep(50 * time.Millisecond)
	if status, _, _ := d.send("GET", "/all/x", ""); status != 200 {
		t.Errorf("after unusable settings: %d", status)
	}
	d.replicas[0].SetRunTime(300 * time.Millisecond)
	d.writeSettings(1)
	d.eventually("on the new limit", func() bool {
		go func() {
			if resp, err := http.DefaultClient.Do(d.request("POST", "/one/x", "order")); err == nil {
				resp.Body.Close()
			}
		}()
		time.Sleep(50 * time.Millisecond)
		status, _, _ := d.send("GET", "/all/x", "")
		return status == 503
	})
}

// Guards against an instance that goes on from its old revisions after the store has come
// back from a copy: later versions do not come into force, although the store gives out
// the same revisions for them, and the instance stays unregistered.
func TestStoreThatComesBackFromACopyIsFollowed(t *testing.T) {
	d := newDeployment(t)
	r := platformtest.NewReplica(t, "s-1", "s", "near", "0123456789abcdef")
	putConfig := func(version int) {
		d.store.Put(platformtest.KindConfig, "main", platformtest.Config(version, "s"))
	}
	inForce := func(version string) func() bool {
		return func() bool { return strings.Contains(d.operatorPage("/status"), `"config_version":`+version+`,`) }
	}
	d.store.Put(platformtest.KindReplicas, r.ID, r.Spec("ready"))
	putConfig(1)
	beforeStart := d.store.Copy()
	d.start()
	putConfig(2)
	d.eventually("on version 2", inForce("2"))
	d.store.Restore(beforeStart)
	putConfig(3)
	d.eventually("on version 3", inForce("3"))
	d.eventually("registered again", func() bool { return slices.Equal(d.store.Names(platformtest.KindInstances), []string{"d1"}) })
	if text := d.operatorPage("/status"); !strings.Contains(text, `"store_era":2`) {
		t.Errorf("status: %s", text)
	}
	if status, _, body := d.send("GET", "/all/x", ""); status != 200 {
		t.Errorf("query: %d %q", status, body)
	}
}

// Guards against a limit that the adapter does not pass on, and against callers that wait
// for a replica at its limit although no other one can serve them.
func TestRequestsBeyondTheRateLimitAreRefused(t *testing.T) {
	d := deploy(t)
	d.replicas[0].NameRateLimit("2")
	d.eventually("limited", func() bool {
		d.send("POST", "/one/x", "order")
		return strings.Contains(d.operatorPage("/status"), `"rate_limit":{"per_second":2,`)
	})
	before, start := len(d.replicas[0].Arrivals()), time.Now()
	for range 50 {
		if status, h, body := d.send("POST", "/one/x", "order"); status != 200 && (status != 503 || h.Get("Retry-After") == "") {
			t.Errorf("%d %v %q", status, h, body)
		}
	}
	allowed := 1.5*2*time.Since(start).Seconds() + 5
	if n := len(d.replicas[0].Arrivals()) - before; float64(n) > allowed {
		t.Errorf("%d requests in %v to a replica that accepts 2 a second, want %g at most", n, time.Since(start), allowed)
	}
}

// Guards against a stop that takes a request late in the grace time, passes it on, and
// closes its connection without an answer when the time ends.
func TestStopAnswersWhatItCannotFinish(t *testing.T) {
	d := deploy(t)
	for _, r := range d.replicas {
		r.SetRunTime(time.Minute)
	}
	d.stop()
	stopped := time.Now()
	time.Sleep(900 * time.Millisecond) // the listener is open for the first half of the grace time
	var done sync.WaitGroup
	for _, r := range []struct{ method, path string }{{"POST", "/one/x"}, {"GET", "/all/x"}} {
		c := d.connect()
		if err := d.request(r.method, r.path, "").Write(c); err != nil {
			t.Fatal(err)
		}
		done.Go(func() {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("%s %s: %v after %v", r.method, r.path, err, time.Since(stopped))
				return
			}
			resp.Body.Close()
			// The replicas have begun to run it, so nothing is promised.
			if resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
				t.Errorf("%s %s: %d, closes: %v", r.method, r.path, resp.StatusCode, resp.Close)
			}
		})
	}
	done.Wait()
	if err := <-d.runResult; err != nil {
		t.Errorf("stop: %v", err)
	}
	if took := time.Since(stopped); took > d.instance.Grace {
		t.Errorf("the stop took %v", took)
	}
	if runs := d.replicas[0].Runs("a1"); runs == 0 {
		t.Error("no request was passed on")
	}
}
