package edge

import (
	"context"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// gatherMessage returns a proper request for a part of a query.
func gatherMessage(shards ...string) *peerpb.GatherRequest {
	return &peerpb.GatherRequest{
		AttemptId: []byte("a\xff1"), From: "d9", Call: 1, Route: "all", Method: "GET", Uri: []byte("/all/x?q=\xff"), Host: []byte("h"),
		Header: []*peerpb.HeaderField{{Name: "X-A", Values: [][]byte{[]byte("b\xff")}}}, Shards: shards, TopK: 2,
		Objective: 200_000, AnswerWithin: 100_000, ReplyWithin: 100_000, Within: 900_000, MaxAttempts: 2,
	}
}

func newPeerClient(t *testing.T, d *deployment) peerpb.Peer {
	conns := peer.NewConns(nil, net.IPv4(127, 0, 0, 1), peerOptions)
	t.Cleanup(conns.Close)
	return conns.Client(d.instance.Peer)
}

// What another instance sends is checked like what a stranger sends. Guards against a
// request that makes an instance panic, work without end or take memory without end, and
// against one that is refused only because of bytes that are not UTF-8.
func TestGatherOverThePeerProtocol(t *testing.T) {
	d := deploy(t)
	client := newPeerClient(t, d)
	reply, err := client.Gather(t.Context(), gatherMessage("s", "t", "unknown"))
	if err != nil {
		t.Fatal(err)
	}
	if len(reply.Answered) != 2 || len(reply.Missing) != 1 || reply.Missing[0].Shard != 2 || reply.Missing[0].Pending || len(reply.Records) != 32 {
		t.Errorf("%v", reply)
	}
	if a := d.replicas[0].Arrivals(); len(a) != 1 || a[0].Attempt != "a\xff1" {
		t.Errorf("the replica got %v", a)
	}
	if reply, err = client.Gather(t.Context(), &peerpb.GatherRequest{}); err != nil || len(reply.Missing) > 0 {
		t.Errorf("a request that only opens a connection: %v %v", reply, err)
	}
	many := make([]string, 5000)
	for i := range many {
		many[i] = strings.Repeat("x", i%10) + "s"
	}
	for name, change := range map[string]func(m *peerpb.GatherRequest){
		"no attempt":            func(m *peerpb.GatherRequest) { m.AttemptId = nil },
		"no deadline":           func(m *peerpb.GatherRequest) { m.Within = 0 },
		"deadline in the past":  func(m *peerpb.GatherRequest) { m.Within = -1 },
		"endless deadline":      func(m *peerpb.GatherRequest) { m.Within = math.MaxInt64 },
		"reply after the end":   func(m *peerpb.GatherRequest) { m.ReplyWithin = m.Within + 1 },
		"too many shards":       func(m *peerpb.GatherRequest) { m.Shards = many },
		"shard twice":           func(m *peerpb.GatherRequest) { m.Shards = []string{"s", "s"} },
		"shard without a name":  func(m *peerpb.GatherRequest) { m.Shards = []string{""} },
		"too many records":      func(m *peerpb.GatherRequest) { m.TopK = math.MaxInt32 },
		"negative records":      func(m *peerpb.GatherRequest) { m.TopK = -1 },
		"no objective":          func(m *peerpb.GatherRequest) { m.Objective = 0 },
		"negative attempts":     func(m *peerpb.GatherRequest) { m.MaxAttempts = -1 },
		"rest of another call":  func(m *peerpb.GatherRequest) { m.Resume, m.Call = true, 99 },
		"another attempt":       func(m *peerpb.GatherRequest) { m.Resume, m.Call, m.AttemptId = true, 1, []byte("a2") },
		"rest of another peer":  func(m *peerpb.GatherRequest) { m.Resume, m.From = true, "d8" },
		"objective in the past": func(m *peerpb.GatherRequest) { m.Objective = math.MinInt64 },
	} {
		m := gatherMessage("s")
		m.Call = 2
		change(m)
		_, err := client.Gather(t.Context(), m)
		if terr, ok := err.(twirp.Error); !ok || terr.Code() != twirp.FailedPrecondition {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := len(d.replicas[0].Arrivals()); n != 1 {
		t.Errorf("%d requests reached the replica", n)
	}
	m := gatherMessage("s")
	m.Body = make([]byte, 32<<20)
	if _, err := client.Gather(t.Context(), m); err == nil {
		t.Error("a body of 32 MB was accepted")
	}
}

// A leaf replies in time with what it has, keeps the rest, and gives it once, to the
// instance that has asked. It must not go on when nobody asks any more.
func TestPartIsResumedOrGivenUp(t *testing.T) {
	d := deploy(t)
	client := newPeerClient(t, d)
	d.replicas[1].SetRunTime(300 * time.Millisecond)
	m := gatherMessage("s", "t")
	reply, err := client.Gather(t.Context(), m)
	if err != nil || len(reply.Answered) != 1 || len(reply.Missing) != 1 || !reply.Missing[0].Pending || !reply.Missing[0].MayHaveRun {
		t.Fatalf("%v %v", reply, err)
	}
	rest := &peerpb.GatherRequest{AttemptId: m.AttemptId, From: m.From, Call: m.Call, Resume: true, ReplyWithin: 800_000, Within: 800_000}
	reply, err = client.Gather(t.Context(), rest)
	if err != nil || len(reply.Answered) != 1 || reply.Answered[0].Shard != 1 || len(reply.Missing) != 0 || len(reply.Records) != 32 {
		t.Fatalf("%v %v", reply, err)
	}
	if _, err = client.Gather(t.Context(), rest); err == nil {
		t.Error("a call that has ended was resumed")
	}
	// A second exchange of the first call may still run for the grace of exchanges.
	time.Sleep(500 * time.Millisecond)
	completed := d.replicas[1].CompletedRequests.Load()
	const runTime = 2 * time.Second
	d.replicas[1].SetRunTime(runTime)
	m.Call, m.AttemptId = 2, []byte("a2")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Gather(ctx, m); err == nil {
		t.Error("a cancelled call has a reply")
	}
	d.eventually("given up", func() bool { return strings.Contains(d.operatorPage("/status"), `"gathering":0`) })
	time.Sleep(runTime)
	if n := d.replicas[1].CompletedRequests.Load(); n != completed {
		t.Errorf("%d requests were served for nobody", n-completed)
	}
}
