package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/link"
)

var (
	seed    = flag.Uint64("seed", 1, "first seed of TestSoak")
	minutes = flag.Float64("minutes", 0, "minutes for which TestSoak runs one seed after the other; 0 runs one seed")
)

const (
	// manyConnections let all four instances have two connections to each replica, with
	// fewConnections only two of them send.
	manyConnections = 20
	fewConnections  = 6
	// faultDuration is the time of a seed during which new faults are injected.
	faultDuration = 6 * time.Second
	// faultSeries is the number of series of faults that run at the same time.
	faultSeries = 3
	// recoveryTimeout is the time after the last fault within which all requests
	// have to be served again.
	recoveryTimeout = 5 * time.Second
)

// Guards against requests that run twice, get a wrong answer or are refused as not
// run although they ran, while random faults hit a deployment, and against a
// deployment that does not recover from them. CI runs the first seed only.
func TestSoak(t *testing.T) { runSeeds(t, manyConnections) }

// TestSoakWithLeaves is TestSoak for replicas with so few connections that instances ask
// each other for parts of queries. Replicas also leave, and ask for pauses.
func TestSoakWithLeaves(t *testing.T) { runSeeds(t, fewConnections) }

// runSeeds runs one seed after the other for the time that the flags name.
func runSeeds(t *testing.T, connections int) {
	end := time.Now().Add(time.Duration(*minutes * float64(time.Minute)))
	for s := *seed; ; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { runSeed(t, s, connections) })
		if time.Now().After(end) {
			return
		}
	}
}

// Guards against the return of faults that a run of TestSoak has shown.
func TestSeedsThatFailed(t *testing.T) {
	f, err := os.Open("testdata/seeds")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		number, cause, _ := strings.Cut(s.Text(), " ")
		if number == "" || strings.HasPrefix(number, "#") {
			continue
		}
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(number, func(t *testing.T) {
			t.Log(cause)
			runSeed(t, n, manyConnections)
		})
	}
}

// runSeed runs a deployment with callers under the faults of a seed, and checks
// the answers, the runs at the replicas and the recovery.
func runSeed(t *testing.T, seed uint64, connections int) {
	d := startDeployment(t, connections)
	l := &ledger{t: t, outcomes: map[string]int{}, sentTo: map[string]*harness.Process{}}
	ctx, cancel := context.WithCancel(t.Context())
	var callersDone, faultsDone sync.WaitGroup
	for n := range callerCount {
		callersDone.Go(func() { l.runCaller(ctx, d, rand.New(rand.NewPCG(seed, uint64(n))), fmt.Sprintf("c%d", n)) })
	}
	f := &faultInjector{deployment: d, linkLocks: map[string]*sync.Mutex{}}
	for _, p := range linkPairs() {
		f.linkLocks[p[0]+p[1]] = &sync.Mutex{}
	}
	f.instanceLocks = make([]sync.Mutex, len(d.instances))
	f.replicaLocks = make([]sync.Mutex, len(d.replicas))
	var limited *limitedReplica
	if connections == manyConnections {
		limited = d.limitOne(rand.New(rand.NewPCG(seed, 3000)))
	}
	o := &operator{deployment: d, storeLock: &f.storeLock, version: 1}
	callersDone.Go(func() { d.watchVersions(ctx) })
	end := time.Now().Add(faultDuration)
	faultsDone.Go(func() { o.run(rand.New(rand.NewPCG(seed, 2000)), end) })
	for n := range faultSeries {
		faultsDone.Go(func() { f.injectSeries(rand.New(rand.NewPCG(seed, 1000+uint64(n))), end) })
	}
	if connections == fewConnections {
		faultsDone.Go(func() { d.changeStates(rand.New(rand.NewPCG(seed, 4000)), end) })
	}
	faultsDone.Wait()
	l.waitUntilServed(d)
	o.waitUntilCurrent()
	if connections == fewConnections && !d.hasCalledLeaves() {
		t.Error("no instance asks another one for a part of a query")
	}
	cancel()
	callersDone.Wait()
	l.checkRuns(d)
	if limited != nil {
		limited.check(t, l.sentTo)
	}
	for _, i := range d.instances {
		if p := i.currentProcess(); p.HasEnded() {
			t.Errorf("%s ended by itself: %v\n%s", i.Name, p.Err(), d.supervisor.Tail(i.Name))
		}
	}
	t.Logf("%d requests: %v; faults: %s", l.sent, l.outcomes, strings.Join(f.injected, ", "))
}

// waitUntilServed reports an error unless recoveryAttempts requests, spread over all
// instances, are all served within recoveryTimeout.
func (l *ledger) waitUntilServed(d *deployment) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for end, n := time.Now().Add(recoveryTimeout), 0; ; n++ {
		served := 0
		for i := range recoveryAttempts {
			if l.sendRequest(l.t.Context(), client, d.instances[i%len(d.instances)], fmt.Sprintf("after-%d-%d", n, i), i%2 == 0) {
				served++
			}
		}
		if served == recoveryAttempts {
			return
		}
		if time.Now().After(end) {
			l.t.Errorf("%d of %d requests served %v after the faults", served, recoveryAttempts, recoveryTimeout)
			return
		}
	}
}

// faultInjector injects faults. Each instance, replica and link and the store has a
// mutex, so that the end of one fault does not undo another fault of the same thing.
// Faults of different things overlap.
type faultInjector struct {
	*deployment
	instanceLocks []sync.Mutex
	replicaLocks  []sync.Mutex
	linkLocks     map[string]*sync.Mutex // by the joined names of the pair
	storeLock     sync.Mutex

	mu       sync.Mutex
	injected []string // kinds of faults, in the order of their injection
}

// linkPairs returns the links that can fail: from the instances of each zone to the
// store and to the replicas of each zone.
func linkPairs() [][2]string {
	var list [][2]string
	for _, a := range zones {
		list = append(list, [2]string{a, "store"})
		for _, b := range zones {
			list = append(list, [2]string{a, "at " + b})
		}
	}
	return list
}

// injectSeries injects one fault after the other until end.
func (f *faultInjector) injectSeries(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		f.injectOne(rng)
	}
}

// faultKinds are drawn by index, so a new order would change what a seed stands for.
var faultKinds = [...]string{"kill", "stop", "pause", "reload", "store away", "cut", "delay", "reset", "slow replica"}

// injectOne draws a kind of fault and what it hits, and returns after its end.
func (f *faultInjector) injectOne(rng *rand.Rand) {
	length := 200*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
	instanceIndex := rng.IntN(len(f.instances))
	pair := linkPairs()[rng.IntN(len(linkPairs()))]
	replicaIndex := rng.IntN(len(f.replicas))
	name := faultKinds[rng.IntN(len(faultKinds))]
	f.mu.Lock()
	f.injected = append(f.injected, name)
	f.mu.Unlock()
	i := f.instances[instanceIndex]
	lock := &f.instanceLocks[instanceIndex]
	switch name {
	case "store away":
		lock = &f.storeLock
	case "cut", "delay", "reset":
		lock = f.linkLocks[pair[0]+pair[1]]
	case "slow replica":
		lock = &f.replicaLocks[replicaIndex]
	}
	lock.Lock()
	defer lock.Unlock()
	changePair := func(c link.Change) {
		c.A, c.B = pair[0], pair[1]
		f.changeLink(c)
	}
	switch name {
	case "kill":
		f.killAndRestart(i, length/2)
	case "stop":
		f.restartGracefully(i)
	case "pause":
		f.pause(i, length)
	case "reload":
		f.signal(i, syscall.SIGHUP)
	case "store away":
		f.store.SetUnavailable(true)
		time.Sleep(length)
		f.store.SetUnavailable(false)
	case "cut":
		yes, no := true, false
		changePair(link.Change{Cut: &yes})
		time.Sleep(length)
		changePair(link.Change{Cut: &no})
	case "delay":
		some, none := 20+100*rng.Float64(), 0.0
		changePair(link.Change{DelayMS: &some})
		time.Sleep(length)
		changePair(link.Change{DelayMS: &none})
	case "reset":
		changePair(link.Change{Reset: true})
	case "slow replica":
		f.replicas[replicaIndex].SetRunTime(time.Duration(rng.Int64N(int64(2 * time.Second))))
		time.Sleep(length)
		f.replicas[replicaIndex].SetRunTime(0)
	}
}
