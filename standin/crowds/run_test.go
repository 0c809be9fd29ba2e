//go:build crowds

package crowds

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/harness"
)

// The limits of an instance of the command run, whose head has no setting.
const (
	runHeadBytes = 256 << 10
	runBodyBytes = 1 << 20
)

// startRun starts an instance of the command run with one target, by a launcher if there
// is one.
func startRun(t *testing.T, launcher []string) *deployment {
	t.Helper()
	c := declare.New("crowds")
	c.Zone("near")
	service := c.Service("archive").Replicas(1).Slots(4).BearsCold(1).Connections(30)
	c.Search("browse", declare.ClassPartial, service.Name())
	var b strings.Builder
	if err := c.Print(&b); err != nil {
		t.Fatal(err)
	}
	document, err := declare.Parse([]byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	topology := harness.Topology{Document: document, Instances: []int{1}, Behaviour: harness.DefaultBehaviour, ItemsPerShard: 1, Seed: 1}
	cluster := harness.NewCluster(topology, binDir, t.TempDir())
	cluster.Launcher = launcher
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	if err := cluster.Start(ctx, "s1"); err != nil {
		t.Fatal(err)
	}
	i := cluster.Instances[0]
	killRunaway(t, cluster.Processes[i.Name])
	return &deployment{
		process: cluster.Processes[i.Name],
		tail:    func() string { return "" },
		endpoints: map[string]endpoint{
			"callers": {
				address: i.CallerAddress, request: "POST /v1/search HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n",
				headBytes: runHeadBytes, bodyBytes: runBodyBytes, ask: func() error { return askSearch(i.CallerAddress) },
			},
			"peers": {address: i.PeerListen, ask: func() error { return askPeer(t, i.PeerListen) }},
		},
	}
}

func askSearch(address string) error {
	body := strings.NewReader(`{"search":"browse","query":{},"deadline_ms":5000}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/search", body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	return askHTTP(req)
}

// Guards against the crowds of TestCrowdsOfCallers at an instance of the command run.
func TestCrowdsOfSearches(t *testing.T) { runCrowds(t, startRun, "callers") }

// Guards against the crowds of TestCrowdsOfConnections at an instance of the command run.
func TestCrowdsOfConnectionsOfRun(t *testing.T) { runConnections(t, startRun, "callers", "peers") }

// Guards against the crowds of TestCrowdsOfPeers at an instance of the command run.
func TestCrowdsOfPeersOfRun(t *testing.T) {
	for _, name := range []string{"large bodies", "small bodies"} {
		t.Run(name, func(t *testing.T) {
			d := startRun(t, nil)
			openPeerCrowd(t, d.endpoints["peers"].address, peerCrowds[name])
			d.checkBounds(t)
		})
	}
}
