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

// orderSend is one send of an order and its reply.
type orderSend struct {
	begin, end time.Time
	reply      harness.Reply
}

// orderClient sends non-idempotent requests and records their replies, to compare
// them with what the targets ran.
type orderClient struct {
	d  *deployment
	mu sync.Mutex
	// sends holds the sends of each key, in the order of their replies.
	sends map[string][]orderSend
}

func newOrderClient(d *deployment) *orderClient {
	return &orderClient{d: d, sends: map[string][]orderSend{}}
}

func (o *orderClient) send(i int, key string, timeout time.Duration) harness.Reply {
	begin := time.Now()
	r := o.d.balancer.ExecuteAt(o.d.ctx, o.d.Instances[i], "order", key, timeout)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sends[key] = append(o.sends[key], orderSend{begin, time.Now(), r})
	return r
}

// issueKey fetches a key from an instance.
func (o *orderClient) issueKey(i int) string {
	key, err := o.d.balancerFor(o.d.Instances[i]).IssueKey(o.d.ctx)
	must(o.d.t, err)
	return key
}

// startStream starts to send n orders, one every 25 ms, each through two instances
// 20 ms apart and then through a third. The first is one of entries in turn. Half
// of the keys are issued by the entries, the others are chosen by the caller.
func (o *orderClient) startStream(name string, n int, entries ...int) *sync.WaitGroup {
	all := len(o.d.Instances)
	var keys []string
	for k := range n {
		key := fmt.Sprintf("%s-%d", name, k)
		if k%2 == 0 {
			key = o.issueKey(entries[k/2%len(entries)])
		}
		keys = append(keys, key)
	}
	done := &sync.WaitGroup{}
	done.Go(func() {
		for k, key := range keys {
			first := entries[k%len(entries)]
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

// resendAll sends every key once more, through the given instances in turn.
func (o *orderClient) resendAll(through ...int) {
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

// checkRuns compares the replies with the targets' records: each key ran at most
// once, an answered key ran exactly once, and a key did not run if all its replies
// say so, or if its last send began after the end of the others and was refused as
// not run. It returns the number of sends by outcome.
func (o *orderClient) checkRuns() map[string]int {
	t := o.d.t
	t.Helper()
	// An order that is still queued in a process gets time to run, so that the check
	// sees a wrong run.
	time.Sleep(300 * time.Millisecond)
	runs, err := o.d.Runs(o.d.ctx)
	must(t, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := map[string]int{}
	for key, sends := range o.sends {
		var last orderSend         // the one that began last
		othersEnded := time.Time{} // when the last of the others ended
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
			if s.begin != last.begin && s.end.After(othersEnded) {
				othersEnded = s.end
			}
		}
		isRefusal := refused == len(sends) || last.reply.Outcome == notRun && last.begin.After(othersEnded)
		switch n := runs[key]; {
		case n > 1:
			t.Errorf("key %s ran %d times: %s", key, n, formatReplies(sends))
		case isAnswered && n != 1:
			t.Errorf("key %s was answered and ran %d times: %s", key, n, formatReplies(sends))
		case isRefusal && n > 0:
			t.Errorf("key %s was refused as not run and ran: %s", key, formatReplies(sends))
		}
	}
	t.Logf("%d keys, %d ran; sends by outcome: %v", len(o.sends), len(runs), outcomes)
	return outcomes
}

func formatReplies(sends []orderSend) (out string) {
	for _, s := range sends {
		out += fmt.Sprintf("[%s to %s: %s %s %s] ", s.begin.Format("05.000"), s.end.Format("05.000"), s.reply.Outcome, s.reply.Reason, s.reply.Message)
	}
	return out
}

// runCount returns how often the targets ran a key.
func (o *orderClient) runCount(key string) int {
	runs, err := o.d.Runs(o.d.ctx)
	must(o.d.t, err)
	return runs[key]
}
