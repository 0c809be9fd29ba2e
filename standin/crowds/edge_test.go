//go:build crowds

package crowds

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/platform/platformtest"
	"github.com/baobabsill/baobabsill/standin/harness"
)

// The limits of the deployments in force.
const (
	edgeHeadBytes = 16 << 10
	edgeBodyBytes = 256 << 10
	// adminBytes is a body at a listener that has no limit of its own.
	adminBytes = 2 << 20
)

// startEdge starts an instance on the users' platform, by a launcher if there is one.
func startEdge(t *testing.T, launcher []string) *deployment {
	t.Helper()
	dir, store := t.TempDir(), platformtest.NewStore(t)
	replica := platformtest.NewReplica(t, "s-near", "s", "near", "done")
	store.Put(platformtest.KindReplicas, replica.ID, replica.Spec("ready"))
	config := platformtest.Config(1, "x")
	config["limits"] = map[string]any{"max-header-bytes": edgeHeadBytes, "max-body-bytes": edgeBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	store.Put(platformtest.KindConfig, "main", config)
	i := platformtest.NewInstance(t, "near-0", "near", "127.0.1.1")
	i.Contact, i.Grace, i.MaxInFlight = 5*time.Second, 6*time.Second, 256
	settings := filepath.Join(dir, "near-0.ini")
	i.WriteSettings(t, settings, store.Address())
	supervisor := harness.NewSupervisor(dir)
	t.Cleanup(supervisor.Close)
	command := append(slices.Clone(launcher), filepath.Join(binDir, "baobabsill"), "edge", "--config", settings)
	process, err := supervisor.Start(i.Name, command[0], command[1:]...)
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		process:   process,
		tail:      func() string { return supervisor.Tail(i.Name) },
		endpoints: edgeEndpoints(t, i),
	}
	killRunaway(t, d.process)
	for name, e := range d.endpoints {
		if err := askUntilAnswered(e, d.process); err != nil {
			t.Fatalf("%s: %v\n%s", name, err, d.tail())
		}
	}
	return d
}

func edgeEndpoints(t *testing.T, i platformtest.Instance) map[string]endpoint {
	return map[string]endpoint{
		"callers": {
			address: i.CallerAddress, request: "POST /one/q HTTP/1.1\r\nHost: h\r\n",
			headBytes: edgeHeadBytes, bodyBytes: edgeBodyBytes,
			ask: func() error { return askCaller(i.CallerAddress, []byte("order"), 0) },
		},
		"balancer": adminEndpoint(i.ReadyAddress, platformtest.ReadyPath),
		"metrics":  adminEndpoint(i.MetricsAddress, "/metrics"),
		"peers":    {address: i.Peer, ask: func() error { return askPeer(t, i.Peer) }},
	}
}

// adminEndpoint is a listener for the balancer or for operators.
func adminEndpoint(address, path string) endpoint {
	return endpoint{
		address: address, request: "GET " + path + " HTTP/1.1\r\nHost: h\r\n",
		headBytes: edgeHeadBytes, bodyBytes: adminBytes,
		ask: func() error {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
			if err != nil {
				return err
			}
			return askHTTP(req)
		},
	}
}

// askCaller sends a request with a body and additional header fields of about
// headBytes together.
func askCaller(address string, body []byte, headBytes int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/one/q", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, "a")
	req.Header.Set(platformtest.HeaderDeadline, "5000")
	for i := range headBytes / 100 {
		req.Header.Set(fmt.Sprintf("x-%04d", i), strings.Repeat("v", 90))
	}
	return askHTTP(req)
}

// askPeer sends one call as another instance does, on a new connection.
func askPeer(t *testing.T, address string) error {
	conns := peer.NewConns(nil, nil, peer.DefaultOptions)
	defer conns.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := conns.Client(address).Fetch(ctx, &peerpb.FetchRequest{})
	return err
}

// Guards against clients of the callers' listener that end a process or fill its memory.
func TestCrowdsOfCallers(t *testing.T) { runCrowds(t, startEdge, "callers") }

// Guards against the same at the listener for the load balancer.
func TestCrowdsAtBalancerListener(t *testing.T) { runCrowds(t, startEdge, "balancer") }

// Guards against the same at the listener for operators.
func TestCrowdsAtMetricsListener(t *testing.T) { runCrowds(t, startEdge, "metrics") }

// Guards against connections that take all descriptors of a process, at each of its
// listeners: it ended, or accepted and opened no further connections.
func TestCrowdsOfConnections(t *testing.T) {
	runConnections(t, startEdge, "callers", "balancer", "metrics", "peers")
}

// runConnections opens a crowd of connections at each of some listeners of an instance
// that is short of descriptors.
func runConnections(t *testing.T, start starter, listeners ...string) {
	for _, listener := range listeners {
		t.Run(listener, func(t *testing.T) {
			d := start(t, limitedLauncher(t))
			send := sendNothing
			if listener == "peers" {
				send = atOnce(peerPreface)
			}
			openCrowd(t, d.endpoints[listener].address, descriptorLimit+200, send)
			checkDescriptors(t, d)
			d.checkBounds(t)
		})
	}
}

// checkDescriptors checks that a process which is short of descriptors keeps some.
func checkDescriptors(t *testing.T, d *deployment) {
	t.Helper()
	if n, err := openDescriptors(d.process.Pid()); err != nil || n > descriptorBound {
		t.Errorf("%d of %d descriptors are open (%v), want %d at most", n, descriptorLimit, err, descriptorBound)
	}
}

// Guards against crowds at all listeners at once that the process bears one by one.
func TestCrowdsAtAllListeners(t *testing.T) {
	d := startEdge(t, nil)
	for _, listener := range []string{"callers", "balancer", "metrics"} {
		e := d.endpoints[listener]
		for _, m := range find(t, "heads of many fields", "bodies in one chunk") {
			openCrowd(t, e.address, m.clients/2, m.send(e))
		}
	}
	openPeerCrowd(t, d.endpoints["peers"].address, peerCrowd{conns: 20, streams: 5, bodyBytes: 1 << 20})
	d.checkBounds(t)
}

// Guards against bounds that refuse a single request within the limits in calm.
func TestLargestRequestInCalm(t *testing.T) {
	d := startEdge(t, nil)
	address := d.endpoints["callers"].address
	if err := askCaller(address, bytes.Repeat([]byte("b"), edgeBodyBytes), edgeHeadBytes-2<<10); err != nil {
		t.Errorf("the largest request is not answered: %v\n%s", err, d.tail())
	}
	d.checkBounds(t)
}
