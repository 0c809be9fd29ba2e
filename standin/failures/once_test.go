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

// slowDownTargets makes a request take about 80 ms, so that many are in flight
// when an instance or a target fails.
func (d *deployment) slowDownTargets() {
	slow := 80.0
	d.changeAllTargets(target.Change{SlowMS: &slow})
}

// Guards against orders that run twice, or that are answered but did not run,
// when the instance that accepted them is killed or frozen and callers resend.
func TestOrdersWhileInstanceFails(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.slowDownTargets()
	o := newOrderClient(d)

	stream := o.startStream("killed", 60, 0, 0, 3)
	unused := o.issueKey(0)
	time.Sleep(700 * time.Millisecond)
	d.kill(0)
	stream.Wait()
	if r := o.send(4, unused, time.Second); r.Outcome == answered || o.runCount(unused) > 0 {
		t.Errorf("unused key issued by a killed instance: %s %s, ran %d times", r.Outcome, r.Reason, o.runCount(unused))
	}
	d.restart(0)
	d.waitForFullAnswers(10 * time.Second)
	o.resendAll(0, 1, 2, 3, 4, 5)
	o.checkRuns()

	// The pause is longer than the instance's lease (1.5 s) and than the timeout
	// of the orders (1 s).
	stream = o.startStream("frozen", 60, 1, 1, 4)
	time.Sleep(500 * time.Millisecond)
	d.freeze(1)
	time.Sleep(2500 * time.Millisecond)
	d.thaw(1)
	stream.Wait()
	d.waitForFullAnswers(10 * time.Second)
	o.resendAll(0, 1, 2, 3, 4, 5)
	if outcomes := o.checkRuns(); outcomes[answered] < 100 || outcomes["unknown"]+outcomes[harness.OutcomeBroken] == 0 {
		t.Errorf("want at least 100 answered orders, and one with unknown outcome or lost connection: %v", outcomes)
	}
}

// Guards against orders that run twice or are lost when the platform, which
// stores their records, is down, is slow or loses its answers.
func TestOrdersWhilePlatformFails(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	o := newOrderClient(d)

	issued := make([]string, 10)
	for k := range issued {
		issued[k] = o.issueKey(k % 6)
	}
	d.setPlatformDown(true)
	for k, key := range issued {
		if r := o.send((k+2)%6, key, time.Second); r.Outcome != answered {
			t.Errorf("issued key during an outage of the platform: %s %s", r.Outcome, r.Reason)
		}
		callerKey := fmt.Sprintf("outage-%d", k)
		if r := o.send(k%6, callerKey, 500*time.Millisecond); r.Outcome == answered || o.runCount(callerKey) > 0 {
			t.Errorf("caller's key during an outage of the platform: %s %s, ran %d times", r.Outcome, r.Reason, o.runCount(callerKey))
		}
	}
	// The outage begins and ends under load.
	stream := o.startStream("flapping", 40, 0, 2, 4)
	for _, down := range []bool{false, true, false} {
		time.Sleep(300 * time.Millisecond)
		d.setPlatformDown(down)
	}
	stream.Wait()
	o.checkRuns()

	slow, none := 300, 0
	d.setPlatformFault(platform.Fault{SlowMS: &slow})
	o.startStream("slow", 30, 1, 3, 5).Wait()
	d.setPlatformFault(platform.Fault{SlowMS: &none})
	o.checkRuns()

	lose := 25
	d.setPlatformFault(platform.Fault{LoseAnswers: &lose})
	o.startStream("lost", 40, 0, 3, 5).Wait()
	d.setPlatformFault(platform.Fault{LoseAnswers: &none})
	o.resendAll(0, 1, 2, 3, 4, 5)
	if outcomes := o.checkRuns(); outcomes[answered] < 200 {
		t.Errorf("fewer than 200 orders were answered: %v", outcomes)
	}
}

// Guards against orders that run twice, or whose outcome is lost, when the
// instance that issued their keys has stopped gracefully.
func TestOrdersOfStoppedInstance(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	o := newOrderClient(d)
	var used, unused []string
	for range 10 {
		used, unused = append(used, o.issueKey(2)), append(unused, o.issueKey(2))
	}
	for k, key := range used {
		o.send(k%6, key, time.Second)
	}
	stream := o.startStream("stopped", 50, 2, 2, 5)
	time.Sleep(300 * time.Millisecond)
	if err := harness.Stop(10*time.Second, d.process(2)); err != nil {
		t.Errorf("stop: %v", err)
	}
	stream.Wait()
	for k, key := range used {
		if r := o.send([]int{0, 1, 3, 4, 5}[k%5], key, time.Second); r.Outcome != answered {
			t.Errorf("used key issued by a stopped instance: %s %s", r.Outcome, r.Reason)
		}
	}
	for k, key := range unused {
		o.send(k%2, key, time.Second)
		if r := o.send(3+k%3, key, time.Second); r.Outcome != answered {
			t.Errorf("unused key issued by a stopped instance: %s %s", r.Outcome, r.Reason)
		}
	}
	o.resendAll(0, 1, 3, 4, 5)
	o.checkRuns()
}

// Guards against a refusal as "not run" of a request that did run. Covers the
// causes of refusals: overload, missed deadlines, targets that drain or that
// closed their ports, a frozen holder and an outage of the platform.
func TestNotRunIsTrue(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	d.slowDownTargets()
	o := newOrderClient(d)
	expectNotRun := func(name string, action func()) {
		before := o.checkRuns()[notRun]
		action()
		if o.checkRuns()[notRun] == before {
			t.Errorf("%s: no order was refused as not run", name)
		}
	}
	// 16 slots can run 200 orders of 80 ms in a second; this is about five times that.
	expectNotRun("overload", func() { o.sendBurst("overload", 250, 300*time.Millisecond) })
	expectNotRun("deadline", func() { o.sendBurst("deadline", 60, 20*time.Millisecond) })
	refuse, none := target.DrainRefuse, target.DrainNone
	changeOrderTargets := func(c target.Change) {
		for name, at := range d.targetCounts() {
			if at.Service == "archive-1" || at.Service == "archive-2" {
				d.changeTargets(at.Zone, name, c)
			}
		}
	}
	expectNotRun("drain", func() { changeOrderTargets(target.Change{Drain: &refuse}); o.sendBurst("drain", 60, time.Second) })
	expectNotRun("closed ports", func() { changeOrderTargets(target.Change{Kill: true}); o.sendBurst("closed", 60, time.Second) })
	changeOrderTargets(target.Change{Restart: true, Drain: &none})
	d.waitForFullAnswers(15 * time.Second)

	stream := o.startStream("frozen", 40, 0, 2, 4)
	time.Sleep(300 * time.Millisecond)
	d.freeze(0)
	time.Sleep(400 * time.Millisecond)
	d.setPlatformDown(true)
	time.Sleep(1500 * time.Millisecond)
	d.setPlatformDown(false)
	d.thaw(0)
	stream.Wait()
	d.waitForFullAnswers(10 * time.Second)
	o.resendAll(0, 1, 2, 3, 4, 5)
	o.checkRuns()
}

// sendBurst sends n orders, 50 at a time, and resends each after its reply.
// Issued keys and keys of the caller alternate.
func (o *orderClient) sendBurst(name string, n int, timeout time.Duration) {
	keys := make(chan string, n)
	for k := range n {
		key := fmt.Sprintf("%s-%d", name, k)
		if k%2 == 0 {
			key = o.issueKey(k % 6)
		}
		keys <- key
	}
	close(keys)
	done := make(chan struct{})
	for i := range 50 {
		go func() {
			for key := range keys {
				o.send(i%6, key, timeout)
				o.send((i+3)%6, key, timeout)
			}
			done <- struct{}{}
		}()
	}
	for range 50 {
		<-done
	}
}
