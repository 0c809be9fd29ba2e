package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["replay"] = replay }

// replay sends orders that may run once, each with an order number of the client in
// Idempotency-Key and without a body. The disruption is answer_lost: a share of the
// replicas run a share of the requests and lose their answers.
func replay(d *deployment, trouble bool) (bool, error) {
	const (
		replicaCount  = 7
		affected      = 5  // of the replicas; 0.71, and the site has up to 0.8
		lossInterval  = 13 // each 13th run of an affected replica loses its answer; 0.077, and the site has up to 0.08
		lossFor       = 5000 * time.Millisecond
		work          = 30 * time.Millisecond
		clientCount   = 12
		orders        = 50 // of each client
		orderInterval = 125 * time.Millisecond
	)
	var lossEnd atomic.Int64
	for i := range replicaCount {
		id := fmt.Sprintf("i-work-%d", i)
		var runs atomic.Int64
		behave := func(a *arrival) bool {
			n := a.run()
			d.rec.add("run %s by %s, run %d of this attempt there, request %d on its connection", a.attempt, id, n, a.onConn)
			time.Sleep(work)
			if trouble && i < affected && time.Now().UnixNano() < lossEnd.Load() && runs.Add(1)%lossInterval == 0 {
				d.rec.add("answer to %s lost by %s", a.attempt, id)
				return false
			}
			return a.answer(200, "order "+a.attempt)
		}
		if _, err := d.addReplica(id, "workshop-floor", zones[i%3].name, 2, linkOptions{}, behave); err != nil {
			return false, err
		}
	}
	d.store.put("config", "main", config(1, []map[string]any{{
		"name": "orders", "hostname": "orders.example", "path-prefix": "/orders/", "type": "non_idempotent", "timeout-ms": 3000,
		"target-latency-ms": 300, "max-attempts": 2, "priority": 2, "service": "workshop-floor",
	}}, []map[string]any{service("workshop-floor", 110)}))
	if err := d.start(); err != nil {
		return false, err
	}
	lossEnd.Store(time.Now().Add(lossFor).UnixNano())
	var mu sync.Mutex
	statuses := map[string]string{} // by attempt
	var wg sync.WaitGroup
	for n := range clientCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *client
			for order := range orders {
				if c == nil {
					var err error
					if c, err = dial(d.instances[n%len(d.instances)].callers); err != nil {
						continue
					}
				}
				attempt := newAttempt()
				key := fmt.Sprintf("Idempotency-Key: order-%d-%d\r\n", n, order)
				if err := c.send("POST", "orders.example", fmt.Sprintf("/orders/%d-%d", n, order), attempt, 3*time.Second, key, ""); err != nil {
					c = nil
					continue
				}
				a := c.receive(4 * time.Second)
				d.rec.add("answer to %s: %s", attempt, a)
				mu.Lock()
				statuses[attempt] = a.String()
				mu.Unlock()
				if a.err != nil || a.close {
					c = nil
				}
				time.Sleep(orderInterval)
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	twice := 0
	for attempt, status := range statuses {
		runs := 0
		for _, r := range d.replicas {
			runs += r.runsOf(attempt)
		}
		if runs > 1 {
			twice++
			d.rec.add("TWICE: %s ran %d times; its client got %s", attempt, runs, status)
		}
	}
	d.rec.summary("%d orders answered, %d of them ran more than once", len(statuses), twice)
	return twice > 0, nil
}
