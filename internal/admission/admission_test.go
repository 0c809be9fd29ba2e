package admission

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/phuslu/log"
	"pgregory.net/rapid"
)

// clients admits clients to a budget and records which of them give way.
type clients struct {
	budget  *Budget
	leases  map[string]*Lease
	evicted []string
}

func newClients(limits Limits) *clients {
	return &clients{budget: NewBudget("test", limits), leases: map[string]*Lease{}}
}

func (c *clients) admit(name string, bytes int64) bool {
	l, ok := c.budget.AdmitConn(bytes, func() { c.evicted = append(c.evicted, name) })
	if ok {
		c.leases[name] = l
	}
	return ok
}

func (c *clients) wantEvicted(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(c.evicted, want) {
		t.Errorf("%v gave way, want %v", c.evicted, want)
	}
	c.evicted = nil
}

// Guards against a client that gives way while one has been waited for longer, and
// against one whose request is being served.
func TestLongestWaitingGivesWay(t *testing.T) {
	c := newClients(Limits{Conns: 3, Bytes: 100})
	c.admit("a", 1)
	c.admit("b", 1)
	c.admit("c", 1)
	c.leases["a"].Renew()
	if !c.leases["b"].BeginServing() || !c.admit("d", 1) {
		t.Fatal("no room for d")
	}
	c.wantEvicted(t, "c")
	if c.leases["c"].BeginServing() || c.leases["c"].Resize(2) {
		t.Error("c is served after it gave way")
	}
	c.leases["c"].Release()
	c.leases["b"].EndServing()
	c.admit("e", 1)
	c.wantEvicted(t, "a")
}

// Guards against idle connections that give way to a large request, and against a slow
// client that makes newer ones give way.
func TestLargeRequestsGiveWayForMemory(t *testing.T) {
	c := newClients(Limits{Conns: 10, Bytes: 100})
	c.admit("idle", 10)
	c.admit("slow", 10)
	c.admit("new", 10)
	if !c.leases["slow"].Resize(60) || !c.leases["new"].Resize(50) {
		t.Fatal("no room for new")
	}
	c.wantEvicted(t, "slow")
	c.leases["slow"].Release()
	if c.leases["new"].Resize(200) {
		t.Error("new holds more than the limit")
	}
	c.wantEvicted(t)
}

// Guards against requests that give way although only connections are short.
func TestConnectionsGiveWayForConnections(t *testing.T) {
	c := newClients(Limits{Conns: 1, Bytes: 100})
	if _, ok := c.budget.AdmitRequest(1, func() { c.evicted = append(c.evicted, "request") }); !ok {
		t.Fatal("no room for a request")
	}
	c.admit("a", 1)
	c.admit("b", 1)
	c.wantEvicted(t, "a")
	if !c.budget.EvictConn() || c.budget.EvictConn() {
		t.Error("one connection can be evicted")
	}
	c.wantEvicted(t, "b")
}

// Guards against clients that are closed more slowly than new ones come.
func TestClosingClientsAreBounded(t *testing.T) {
	c := newClients(Limits{Conns: 8, Bytes: 1000})
	admitted := 0
	for i := range 100 {
		if c.admit(fmt.Sprint(i), 1) {
			admitted++
		}
	}
	if want := 8 + 8/evictionSlack + 1; admitted != want {
		t.Errorf("%d clients hold something, want %d", admitted, want)
	}
}

// Guards against an account that differs from what the clients hold, after any sequence
// of calls.
func TestAccountMatchesLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Conns: 5, Bytes: 50}
		c := newClients(limits)
		serving := map[string]bool{}
		for i := range 60 {
			var names []string
			for name := range c.leases {
				names = append(names, name)
			}
			slices.Sort(names)
			if len(names) == 0 || rapid.Bool().Draw(t, "new") {
				c.admit(fmt.Sprint(i), rapid.Int64Range(1, 20).Draw(t, "bytes"))
			} else {
				name := rapid.SampledFrom(names).Draw(t, "name")
				switch l := c.leases[name]; rapid.IntRange(0, 3).Draw(t, "call") {
				case 0:
					l.Resize(rapid.Int64Range(1, 60).Draw(t, "size"))
				case 1:
					if !serving[name] && l.BeginServing() {
						serving[name] = true
					}
				case 2:
					if serving[name] {
						l.EndServing()
						delete(serving, name)
					}
				case 3:
					l.Release()
					delete(c.leases, name)
					delete(serving, name)
				}
			}
			for name := range serving {
				if slices.Contains(c.evicted, name) {
					t.Fatalf("%s gave way while it was served", name)
				}
			}
			if used := c.budget.Used(); used.Conns > limits.Conns || used.Bytes > limits.Bytes || used.Conns < 0 || used.Bytes < 0 {
				t.Fatalf("%+v is used", used)
			}
		}
		for _, l := range c.leases {
			l.Release()
			l.Release()
		}
		if c.budget.used != (Limits{}) || c.budget.closing != (Limits{}) || c.budget.waiting.Len() != 0 {
			t.Fatalf("%+v and %+v remain", c.budget.used, c.budget.closing)
		}
	})
}

// fullListener has no descriptor for some calls of Accept.
type fullListener struct {
	net.Listener
	failures int
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	_, server := net.Pipe()
	return server, nil
}

// Guards against a server that ends because the process is short of descriptors.
func TestAcceptGoesOnWithoutDescriptors(t *testing.T) {
	ln := &fullListener{}
	budget := NewBudget("test", Limits{Conns: 10, Bytes: 10})
	l := NewListener(&log.Logger{Level: log.ErrorLevel}, ln, budget, 1)
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ln.failures = 2
	if _, err := l.Accept(); err != nil {
		t.Fatalf("the listener fails: %v", err)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("the first connection did not give way: %v", err)
	}
}

// Guards against listeners that together take all descriptors or half of the memory, and
// against one that is left without connections.
func TestDivide(t *testing.T) {
	for _, r := range []Resources{{}, {184_000_000, 4100, 0}, {536_000_000, 8192, 1 << 20}, {48 << 20, 64, 0}, {1 << 40, 1 << 20, 1 << 20}} {
		p := Divide(r)
		conns := p.Callers.Conns + p.Peers.Conns + 2*p.Admin.Conns
		bytes := p.Callers.Bytes + p.Peers.Bytes + 2*p.Admin.Bytes
		if r.Descriptors > 0 && conns > r.Descriptors*3/4 || r.Memory > 0 && bytes > r.Memory/2 {
			t.Errorf("%+v is divided into %+v", r, p)
		}
		if min(p.Callers.Conns, p.Peers.Conns, p.Admin.Conns) < minConns {
			t.Errorf("%+v: a listener has too few connections: %+v", r, p)
		}
	}
}
