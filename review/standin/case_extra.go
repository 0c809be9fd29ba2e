package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = extra }

// extraReplica runs requests in its slots, queues a few more, and rejects the others with
// 503 and X-Not-Executed. While it is faulty, it sends a second copy of some answers, late:
// before the next answer on the connection.
type extraReplica struct {
	running, queued chan struct{}
	faulty          func() bool
	answers         atomic.Int64

	mu     sync.Mutex
	copies map[any]string // answer to send once more, by connection
}

const (
	extraSlots = 2
	extraQueue = 8
	extraWork  = 60 * time.Millisecond
	// extraEach is the number of answers of which one is sent twice: 0.04 of them.
	extraEach = 25
)

func (x *extraReplica) behave(d *deployment, a *arrival) bool {
	x.mu.Lock()
	late := x.copies[a.conn]
	delete(x.copies, a.conn)
	x.mu.Unlock()
	if late != "" {
		if _, err := a.conn.Write([]byte(late)); err != nil {
			return false
		}
		d.rec.add("%s sends a late copy of an answer on a connection where it has just got %s", a.replica.id, a.attempt)
	}
	select {
	case x.queued <- struct{}{}:
	default:
		d.rec.add("%s rejects %s on %s", a.replica.id, a.attempt, a.conn.RemoteAddr())
		return x.reply(a, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
	}
	x.running <- struct{}{}
	d.rec.add("%s runs %s on %s, run %d", a.replica.id, a.attempt, a.conn.RemoteAddr(), a.run())
	time.Sleep(extraWork)
	<-x.running
	<-x.queued
	return x.reply(a, http.StatusOK, fmt.Sprintf("X-Server-Stamp: %s.%s\r\n", a.replica.id, a.attempt), "order")
}

func (x *extraReplica) reply(a *arrival, status int, fields, body string) bool {
	if x.faulty() && x.answers.Add(1)%extraEach == 0 {
		x.mu.Lock()
		x.copies[a.conn] = fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), a.attempt, fields, len(body), body)
		x.mu.Unlock()
	}
	return a.reply(status, fields, body)
}

// extra sends orders that may run once, in bursts of more than the replicas can run. The
// disruption is garble (extra late).
func extra(d *deployment, trouble bool) (bool, error) {
	const (
		replicaCount = 7
		affected     = 3   // of the replicas; 0.43
		ordinary     = 210 // orders a second; the replicas can run 233
		burst        = 280
		period       = 8 * time.Second
		faultyFor    = 5 * time.Second // of each period
		burstFor     = 5 * time.Second
		playFor      = 56 * time.Second
	)
	start := time.Now()
	into := func() time.Duration { return time.Since(start) % period }
	for i := range replicaCount {
		x := &extraReplica{
			running: make(chan struct{}, extraSlots), queued: make(chan struct{}, extraSlots+extraQueue), copies: map[any]string{},
			faulty: func() bool { return trouble && i < affected && into() < faultyFor },
		}
		if _, err := d.addReplica(fmt.Sprintf("i-work-%d", i), "workshop-floor", zones[i%3].name, extraSlots, linkOptions{}, func(a *arrival) bool { return x.behave(d, a) }); err != nil {
			return false, err
		}
	}
	d.store.put("config", "main", config(1, []map[string]any{{
		"name": "orders", "hostname": "orders.example", "path-prefix": "/orders/", "type": "non_idempotent", "timeout-ms": 3000,
		"target-latency-ms": 300, "max-attempts": 1, "priority": 2, "service": "workshop-floor",
	}}, []map[string]any{service("workshop-floor", 110)}))
	if err := d.start(); err != nil {
		return false, err
	}
	start = time.Now()
	var mu sync.Mutex
	statuses := map[string]answer{}
	var wg sync.WaitGroup
	next := start
	for n := 0; time.Since(start) < playFor; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(d.instances[n%len(d.instances)].callers)
			if err != nil {
				return
			}
			defer c.conn.Close()
			attempt := newAttempt()
			if c.send("POST", "orders.example", "/orders/new", attempt, 3*time.Second, "", fmt.Sprintf("order %d", n)) != nil {
				return
			}
			a := c.receive(4 * time.Second)
			d.rec.add("answer to %s: %s", attempt, a)
			mu.Lock()
			statuses[attempt] = a
			mu.Unlock()
		}()
		rate := ordinary
		if into() < burstFor {
			rate = burst
		}
		next = next.Add(time.Second / time.Duration(rate))
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	twice, refused, rejected := 0, 0, 0
	for attempt, a := range statuses {
		runs := 0
		for _, r := range d.replicas {
			runs += r.runsOf(attempt)
		}
		if a.status == http.StatusServiceUnavailable {
			rejected++
			if runs > 0 {
				refused++
				d.rec.add("REFUSED: %s was answered 503 and has run", attempt)
			}
		}
		if runs > 1 {
			twice++
			d.rec.add("TWICE: %s ran %d times", attempt, runs)
		}
	}
	d.rec.summary("%d orders answered, %d of them with 503; %d ran more than once; %d were answered 503 and have run", len(statuses), rejected, twice, refused)
	return twice+refused > 0, nil
}
