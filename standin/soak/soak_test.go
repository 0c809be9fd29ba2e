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

	"github.com/baobabsill/baobabsill/standin/link"
)

var (
	seed    = flag.Uint64("seed", 1, "first seed of TestSoak")
	minutes = flag.Float64("minutes", 0, "time for which TestSoak plays seeds one after the other; 0: one seed")
)

const (
	// faultTime is the time of one seed in which faults begin.
	faultTime = 6 * time.Second
	// tracks is the number of series of faults that run beside each other.
	tracks = 3
	// recovery is the time in which all is served again once the faults are over.
	recovery = 5 * time.Second
)

// TestSoak plays seeds. CI plays the first one only.
func TestSoak(t *testing.T) {
	end := time.Now().Add(time.Duration(*minutes * float64(time.Minute)))
	for s := *seed; ; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { play(t, s) })
		if time.Now().After(end) {
			return
		}
	}
}

// TestSeedsThatFailed plays the seeds that showed a fault once.
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
			play(t, n)
		})
	}
}

// play runs a deployment under the faults of a seed.
func play(t *testing.T, seed uint64) {
	d := deploy(t)
	l := &ledger{t: t, outcomes: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	var calling, failing sync.WaitGroup
	for n := range callers {
		calling.Go(func() { l.call(ctx, d, rand.New(rand.NewPCG(seed, uint64(n))), fmt.Sprintf("c%d", n)) })
	}
	f := &faults{deployment: d, links: map[string]*sync.Mutex{}}
	for _, p := range pairs() {
		f.links[p[0]+p[1]] = &sync.Mutex{}
	}
	f.victims = make([]sync.Mutex, len(d.instances))
	f.slow = make([]sync.Mutex, len(d.replicas))
	end := time.Now().Add(faultTime)
	for n := range tracks {
		failing.Go(func() { f.series(rand.New(rand.NewPCG(seed, 1000+uint64(n))), end) })
	}
	failing.Wait()
	l.recovers(d)
	cancel()
	calling.Wait()
	l.audit(d)
	for _, i := range d.instances {
		if i.process.HasEnded() {
			t.Errorf("%s ended by itself: %v\n%s", i.Name, i.process.Err(), d.supervisor.Tail(i.Name))
		}
	}
	t.Logf("%d requests: %v; faults: %s", l.sent, l.outcomes, strings.Join(f.log, ", "))
}

// recovers checks that all instances serve again.
func (l *ledger) recovers(d *deployment) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for end, n := time.Now().Add(recovery), 0; ; n++ {
		served := 0
		for i := range attemptsAfter {
			if l.ask(l.t.Context(), client, d.instances[i%len(d.instances)], fmt.Sprintf("after-%d-%d", n, i), i%2 == 0) {
				served++
			}
		}
		if served == attemptsAfter {
			return
		}
		if time.Now().After(end) {
			l.t.Errorf("%d of %d requests served %v after the faults", served, attemptsAfter, recovery)
			return
		}
	}
}

// faults injects faults. One mutex for each victim keeps two faults from undoing
// each other; faults of different victims overlap.
type faults struct {
	*deployment
	victims []sync.Mutex
	slow    []sync.Mutex
	links   map[string]*sync.Mutex
	away    sync.Mutex

	mu  sync.Mutex
	log []string
}

// pairs are the links that can fail: of each zone to the store and to the
// replicas of each zone.
func pairs() [][2]string {
	var list [][2]string
	for _, a := range zones {
		list = append(list, [2]string{a, "store"})
		for _, b := range zones {
			list = append(list, [2]string{a, "at " + b})
		}
	}
	return list
}

// series injects one fault after the other until end.
func (f *faults) series(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		f.one(rng)
	}
}

// kinds are the faults. A seed stands for their order.
var kinds = [...]string{"kill", "stop", "pause", "reload", "store away", "cut", "delay", "reset", "slow replica"}

func (f *faults) one(rng *rand.Rand) {
	length := 200*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
	victim := rng.IntN(len(f.instances))
	pair := pairs()[rng.IntN(len(pairs()))]
	slow := rng.IntN(len(f.replicas))
	name := kinds[rng.IntN(len(kinds))]
	f.mu.Lock()
	f.log = append(f.log, name)
	f.mu.Unlock()
	i := f.instances[victim]
	held := &f.victims[victim]
	switch name {
	case "store away":
		held = &f.away
	case "cut", "delay", "reset":
		held = f.links[pair[0]+pair[1]]
	case "slow replica":
		held = &f.slow[slow]
	}
	held.Lock()
	defer held.Unlock()
	change := func(c link.Change) {
		c.A, c.B = pair[0], pair[1]
		f.change(c)
	}
	switch name {
	case "kill":
		f.kill(i, length/2)
	case "stop":
		f.stop(i)
	case "pause":
		f.pause(i, length)
	case "reload":
		f.signal(i, syscall.SIGHUP)
	case "store away":
		f.store.SetAway(true)
		time.Sleep(length)
		f.store.SetAway(false)
	case "cut":
		yes, no := true, false
		change(link.Change{Cut: &yes})
		time.Sleep(length)
		change(link.Change{Cut: &no})
	case "delay":
		some, none := 20+100*rng.Float64(), 0.0
		change(link.Change{DelayMS: &some})
		time.Sleep(length)
		change(link.Change{DelayMS: &none})
	case "reset":
		change(link.Change{Reset: true})
	case "slow replica":
		f.replicas[slow].SetTook(time.Duration(rng.Int64N(int64(2 * time.Second))))
		time.Sleep(length)
		f.replicas[slow].SetTook(0)
	}
}
