package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// With fewer connections to a replica than instances, an instance that sends to all shards
// itself reaches only some of them: queries were refused. Guards also against an entry
// that makes about as many calls as there are shards, and against shards that are asked
// twice without need.
func TestQueryIsGatheredByLeaves(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		before := f.exchanges()
		for name := range f.instances {
			a, took := f.query(t, name, "q-"+name)
			if a.Code != Merged || a.MissingCount > 0 || took > testObjective/2 {
				t.Errorf("%s: %s with %d missing after %v: %v", name, a.Code, a.MissingCount, took, a.MissingDetails)
			}
			if a.LeafCalls > fleetShards/4 {
				t.Errorf("%s made %d calls for %d shards", name, a.LeafCalls, fleetShards)
			}
		}
		if n, want := f.exchanges()-before, fleetSize*fleetShards; n > want*11/10 {
			t.Errorf("%d exchanges, want about %d", n, want)
		}
	})
}

// A shard without an answer must not make the answers of its group late or lose them: the
// leaf has to answer in time for the entry to answer its caller.
func TestPartialAnswerOfLeafIsInTime(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for id, r := range f.replicas {
			if strings.HasPrefix(id, "s7/") || strings.HasPrefix(id, "s23/") {
				r.answerAfter(time.Minute)
			}
		}
		for name := range f.instances {
			if a, took := f.query(t, name, "q-"+name); a.Code != Merged || a.MissingCount != 2 || took >= testObjective {
				t.Errorf("%s: %s with %d missing after %v: %v", name, a.Code, a.MissingCount, took, a.MissingDetails)
			}
		}
	})
}

// If more shards are slow than an answer may lack, the answer is late, but it has to come,
// and the shards must not be asked again and again.
func TestLateAnswerThroughLeaves(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for id, r := range f.replicas {
			if id[1] <= '3' { // 41 of the 60 shards
				r.answerAfter(testObjective + 50*time.Millisecond)
			}
		}
		before := f.exchanges()
		a, took := f.query(t, "d3", "slow")
		if a.Code != Merged || took > 2*testObjective {
			t.Errorf("%s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
		}
		if n := f.exchanges() - before; n > 3*fleetShards {
			t.Errorf("%d exchanges for %d shards", n, fleetShards)
		}
	})
}

// Half a second after a caller has left, replicas must no longer work for it, and get
// nothing more: its entry cancels the calls, and the leaves end their exchanges.
func TestLeavingCallerCancelsLeaves(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for _, r := range f.replicas {
			r.answerAfter(10 * time.Second)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		f.instances["d2"].Serve(ctx, &Request{
			AttemptID: "q", Method: "GET", URI: "/p/x", Path: "/p/x", Host: "h", Arrived: time.Now(), CallerTimeout: 5 * time.Second,
		})
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		before := f.exchanges()
		for name, fw := range f.instances {
			if n := fw.Gathering(); n > 0 {
				t.Errorf("%s still gathers for %d callers", name, n)
			}
			for _, report := range fw.pool.Reports(time.Now()) {
				if report.InFlight > 0 {
					t.Errorf("%s has %d exchanges in flight with %s", name, report.InFlight, report.ID)
				}
			}
		}
		time.Sleep(5 * time.Second)
		if n := f.exchanges() - before; n > 0 {
			t.Errorf("%d exchanges began half a second after the caller had left", n)
		}
	})
}

// Entries and leaves may both ask once more. Guards against repeats beyond the budget of
// the fleet when all replicas are slow.
func TestRepeatsOfLeavesStayWithinBudget(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for _, r := range f.replicas {
			r.answerAfter(150 * time.Millisecond)
		}
		before := map[string]int{}
		count := func(service string) (n int) {
			for id, r := range f.replicas {
				if strings.HasPrefix(id, service+"/") {
					n += r.exchangeCount()
				}
			}
			return n
		}
		for _, s := range f.shards {
			before[s] = count(s)
		}
		const queries = 300
		var wg sync.WaitGroup
		for n := range queries {
			wg.Go(func() { f.query(t, fmt.Sprintf("d%d", n%fleetSize), fmt.Sprint("q", n)) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		for _, s := range f.shards {
			if n, limit := count(s)-before[s]-queries, int(scatterBudgetRatio*queries)+scatterBudgetSlack; n > limit {
				t.Errorf("%d repeats to %s, want %d at most", n, s, limit)
			}
		}
	})
}
