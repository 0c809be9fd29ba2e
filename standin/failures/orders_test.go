//go:build failures

package failures

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
)

const (
	answered = "answered"
	notRun   = "refused-not-run"
)

type sent struct {
	begin, end time.Time
	reply      harness.Reply
}

// orders sends non-idempotent requests and keeps all replies by key.
type orders struct {
	d  *deployment
	mu sync.Mutex
	// sends of a key in the order of their replies.
	sends map[string][]sent
}

func newOrders(d *deployment) *orders { return &orders{d: d, sends: map[string][]sent{}} }

func (o *orders) send(i int, key string, deadline time.Duration) harness.Reply {
	begin := time.Now()
	r := o.d.balancer.ExecuteAt(o.d.ctx, o.d.Instances[i], "order", key, deadline)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sends[key] = append(o.sends[key], sent{begin, time.Now(), r})
	return r
}

// issue fetches a key from an instance.
func (o *orders) issue(i int) string {
	key, err := o.d.only(o.d.Instances[i]).IssueKey(o.d.ctx)
	must(o.d.t, err)
	return key
}

// stream sends n orders, one every 25 ms, each through two instances at about
// the same time and then through a third. Half of the keys are issued, in turn
// by each instance in from; the others are chosen by the caller.
func (o *orders) stream(name string, n int, from ...int) *sync.WaitGroup {
	all := len(o.d.Instances)
	var keys []string
	for k := range n {
		key := fmt.Sprintf("%s-%d", name, k)
		if k%2 == 0 {
			key = o.issue(from[k/2%len(from)])
		}
		keys = append(keys, key)
	}
	done := &sync.WaitGroup{}
	done.Go(func() {
		for k, key := range keys {
			first := from[k%len(from)]
			done.Go(func() {
				var pair sync.WaitGroup
				pair.Go(func() { o.send(first, key, time.Second) })
				time.Sleep(20 * time.Millisecond)
				pair.Go(func() { o.send((first+2)%all, key, time.Second) })
				pair.Wait()
				o.send((first+1+2*(k%2))%all, key, time.Second)
			})
			time.Sleep(25 * time.Millisecond)
		}
	})
	return done
}

// resend sends every key once more through the instances in turn.
func (o *orders) resend(through ...int) {
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	o.mu.Lock()
	keys := slices.Sorted(maps.Keys(o.sends))
	o.mu.Unlock()
	for k, key := range keys {
		i := through[k%len(through)]
		limit <- struct{}{}
		wg.Go(func() { o.send(i, key, time.Second); <-limit })
	}
	wg.Wait()
}

// check compares the replies with the targets' records: each key ran at most
// once, an answered key ran exactly once, and a key did not run if its last
// refusal says so. It returns the number of sends by outcome.
func (o *orders) check() map[string]int {
	t := o.d.t
	t.Helper()
	// An order that a process still holds must have time to do harm.
	time.Sleep(300 * time.Millisecond)
	runs, err := o.d.Runs(o.d.ctx)
	must(t, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := map[string]int{}
	for key, sends := range o.sends {
		var last sent // by begin
		ended := time.Time{}
		isAnswered, refused := false, 0
		for _, s := range sends {
			outcomes[s.reply.Outcome]++
			isAnswered = isAnswered || s.reply.Outcome == answered
			if s.reply.Outcome == notRun {
				refused++
			}
			if s.begin.After(last.begin) {
				last = s
			}
		}
		for _, s := range sends {
			if s.begin != last.begin && s.end.After(ended) {
				ended = s.end
			}
		}
		isRefusal := refused == len(sends) || last.reply.Outcome == notRun && last.begin.After(ended)
		switch n := runs[key]; {
		case n > 1:
			t.Errorf("key %s ran %d times: %s", key, n, replies(sends))
		case isAnswered && n != 1:
			t.Errorf("key %s was answered and ran %d times: %s", key, n, replies(sends))
		case isRefusal && n > 0:
			t.Errorf("key %s was refused as not run and ran: %s", key, replies(sends))
		}
	}
	t.Logf("%d keys, %d ran; sends by outcome: %v", len(o.sends), len(runs), outcomes)
	return outcomes
}

func replies(sends []sent) (out string) {
	for _, s := range sends {
		out += fmt.Sprintf("[%s to %s: %s %s %s] ", s.begin.Format("05.000"), s.end.Format("05.000"), s.reply.Outcome, s.reply.Reason, s.reply.Message)
	}
	return out
}

// ran returns how often a key ran.
func (o *orders) ran(key string) int {
	runs, err := o.d.Runs(o.d.ctx)
	must(o.d.t, err)
	return runs[key]
}
