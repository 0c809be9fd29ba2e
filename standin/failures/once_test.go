//go:build failures

package failures

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/platform"
	"github.com/baobabsill/baobabsill/standin/target"
)

// slowOrders makes a request take about 80 ms, so that many are under way when
// a failure hits.
func (d *deployment) slowOrders() {
	slow := 80.0
	d.changeAll(target.Change{SlowMS: &slow})
}

// Guards against orders that run twice, or that are answered and did not run,
// when the instance that took them is killed or frozen and callers resend.
func TestOrdersWhileInstanceFails(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.slowOrders()
	o := newOrders(d)

	stream := o.stream("killed", 60, 0, 0, 3)
	unused := o.issue(0)
	time.Sleep(700 * time.Millisecond)
	d.kill(0)
	stream.Wait()
	if r := o.send(4, unused, time.Second); r.Outcome == answered || o.ran(unused) > 0 {
		t.Errorf("an unused key of a killed instance: %s %s, ran %d times", r.Outcome, r.Reason, o.ran(unused))
	}
	d.restart(0)
	d.recovers(10 * time.Second)
	o.resend(0, 1, 2, 3, 4, 5)
	o.check()

	// Past its lease (1.5 s) and the deadline of the orders (1 s).
	stream = o.stream("frozen", 60, 1, 1, 4)
	time.Sleep(500 * time.Millisecond)
	d.freeze(1)
	time.Sleep(2500 * time.Millisecond)
	d.thaw(1)
	stream.Wait()
	d.recovers(10 * time.Second)
	o.resend(0, 1, 2, 3, 4, 5)
	if outcomes := o.check(); outcomes[answered] < 100 || outcomes["unknown"]+outcomes[harness.OutcomeBroken] == 0 {
		t.Errorf("the failures did not hit any order, or hit too many: %v", outcomes)
	}
}

// Guards against orders that run twice or get lost when the platform, which
// keeps their records, is down, slow or loses its answers.
func TestOrdersWhilePlatformFails(t *testing.T) {
	d := start(t, nil)
	d.warm()
	o := newOrders(d)

	issued := make([]string, 10)
	for k := range issued {
		issued[k] = o.issue(k % 6)
	}
	d.platformDown(true)
	for k, key := range issued {
		if r := o.send((k+2)%6, key, time.Second); r.Outcome != answered {
			t.Errorf("issued key in an outage of the platform: %s %s", r.Outcome, r.Reason)
		}
		own := fmt.Sprintf("outage-%d", k)
		if r := o.send(k%6, own, 500*time.Millisecond); r.Outcome == answered || o.ran(own) > 0 {
			t.Errorf("caller's key in an outage of the platform: %s %s, ran %d times", r.Outcome, r.Reason, o.ran(own))
		}
	}
	// The outage begins and ends under load.
	stream := o.stream("flapping", 40, 0, 2, 4)
	for _, down := range []bool{false, true, false} {
		time.Sleep(300 * time.Millisecond)
		d.platformDown(down)
	}
	stream.Wait()
	o.check()

	slow, none := 300, 0
	d.fault(platform.Fault{SlowMS: &slow})
	o.stream("slow", 30, 1, 3, 5).Wait()
	d.fault(platform.Fault{SlowMS: &none})
	o.check()

	lose := 25
	d.fault(platform.Fault{LoseAnswers: &lose})
	o.stream("lost", 40, 0, 3, 5).Wait()
	d.fault(platform.Fault{LoseAnswers: &none})
	o.resend(0, 1, 2, 3, 4, 5)
	if outcomes := o.check(); outcomes[answered] < 200 {
		t.Errorf("few orders were answered: %v", outcomes)
	}
}

// Guards against a second run, and against a lost outcome, of the keys of an
// instance that stopped gracefully.
func TestOrdersOfStoppedInstance(t *testing.T) {
	d := start(t, nil)
	d.warm()
	o := newOrders(d)
	var used, unused []string
	for range 10 {
		used, unused = append(used, o.issue(2)), append(unused, o.issue(2))
	}
	for k, key := range used {
		o.send(k%6, key, time.Second)
	}
	stream := o.stream("stopped", 50, 2, 2, 5)
	time.Sleep(300 * time.Millisecond)
	if err := harness.Stop(10*time.Second, d.process(2)); err != nil {
		t.Errorf("stop: %v", err)
	}
	stream.Wait()
	for k, key := range used {
		if r := o.send([]int{0, 1, 3, 4, 5}[k%5], key, time.Second); r.Outcome != answered {
			t.Errorf("outcome of a key whose instance stopped: %s %s", r.Outcome, r.Reason)
		}
	}
	for k, key := range unused {
		o.send(k%2, key, time.Second)
		if r := o.send(3+k%3, key, time.Second); r.Outcome != answered {
			t.Errorf("unused key whose instance stopped: %s %s", r.Outcome, r.Reason)
		}
	}
	o.resend(0, 1, 3, 4, 5)
	o.check()
}

// Guards against "not run" for a request that a target ran, in all cases that
// lead to a refusal: overload, drain, closed ports, passed deadlines, a frozen
// holder and an outage.
func TestNotRunIsTrue(t *testing.T) {
	d := start(t, nil)
	d.warm()
	d.slowOrders()
	o := newOrders(d)
	refusing := func(name string, action func()) {
		before := o.check()[notRun]
		action()
		if o.check()[notRun] == before {
			t.Errorf("%s: no order was refused as not run", name)
		}
	}
	// 16 slots bear 200 orders of 80 ms in a second; this is about five times that.
	refusing("overload", func() { o.burst("overload", 250, 300*time.Millisecond) })
	refusing("deadline", func() { o.burst("deadline", 60, 20*time.Millisecond) })
	refuse, none := target.DrainRefuse, target.DrainNone
	targets := func(c target.Change) {
		for name, at := range d.counts() {
			if at.Service == "archive-1" || at.Service == "archive-2" {
				d.change(at.Zone, name, c)
			}
		}
	}
	refusing("drain", func() { targets(target.Change{Drain: &refuse}); o.burst("drain", 60, time.Second) })
	refusing("closed ports", func() { targets(target.Change{Kill: true}); o.burst("closed", 60, time.Second) })
	targets(target.Change{Restart: true, Drain: &none})
	d.recovers(15 * time.Second)

	stream := o.stream("frozen", 40, 0, 2, 4)
	time.Sleep(300 * time.Millisecond)
	d.freeze(0)
	time.Sleep(400 * time.Millisecond)
	d.platformDown(true)
	time.Sleep(1500 * time.Millisecond)
	d.platformDown(false)
	d.thaw(0)
	stream.Wait()
	d.recovers(10 * time.Second)
	o.resend(0, 1, 2, 3, 4, 5)
	o.check()
}

// burst sends n orders at once, with keys that are issued or chosen in turn,
// and each once more after its reply.
func (o *orders) burst(name string, n int, deadline time.Duration) {
	keys := make(chan string, n)
	for k := range n {
		key := fmt.Sprintf("%s-%d", name, k)
		if k%2 == 0 {
			key = o.issue(k % 6)
		}
		keys <- key
	}
	close(keys)
	done := make(chan struct{})
	for i := range 50 {
		go func() {
			for key := range keys {
				o.send(i%6, key, deadline)
				o.send((i+3)%6, key, deadline)
			}
			done <- struct{}{}
		}()
	}
	for range 50 {
		<-done
	}
}
