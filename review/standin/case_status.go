package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["status"] = status }

// status sends orders that may run once. The disruption is srv_grey: replicas fail part
// of their requests while their health check is good. They fail them with 503 after the
// work, and without X-Not-Executed, because they have run.
func status(d *deployment, trouble bool) (bool, error) {
	const (
		replicaCount  = 7
		affected      = 1   // of the replicas; 0.14 as on the site
		failed        = 0.4 // of the requests there, below the 0.45 of the site
		failFor       = 6 * time.Second
		work          = 30 * time.Millisecond
		clientCount   = 12
		orders        = 50 // of each client
		orderInterval = 125 * time.Millisecond
	)
	var failEnd atomic.Int64
	for i := range replicaCount {
		id := fmt.Sprintf("i-work-%d", i)
		var runs atomic.Int64
		behave := func(a *arrival) bool {
			a.run()
			d.rec.add("run %s by %s", a.attempt, id)
			time.Sleep(work)
			if n := float64(runs.Add(1)); trouble && i < affected && time.Now().UnixNano() < failEnd.Load() && int(n*failed) > int((n-1)*failed) {
				d.rec.add("%s fails %s with 503 after the work", id, a.attempt)
				return a.answer(503, "the work has failed")
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
	failEnd.Store(time.Now().Add(failFor).UnixNano())
	var refusedButRan, sent atomic.Int64
	var wg sync.WaitGroup
	for n := range clientCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for order := range orders {
				for try := 0; try < 2; try++ { // a client sends again after a promise that the order has not run
					c, err := dial(d.instances[(n+try)%len(d.instances)].callers)
					if err != nil {
						break
					}
					attempt, body := newAttempt(), fmt.Sprintf("order %d-%d", n, order)
					sent.Add(1)
					if err := c.send("POST", "orders.example", "/orders/new", attempt, 3*time.Second, "", body); err != nil {
						break
					}
					a := c.receive(4 * time.Second)
					c.conn.Close()
					d.rec.add("answer to %s (order %d-%d): %s", attempt, n, order, a)
					if a.status != 429 && a.status != 503 && a.status != 408 && a.status != 421 {
						break
					}
					runs := 0
					for _, r := range d.replicas {
						runs += r.runsOf(attempt)
					}
					if runs > 0 {
						refusedButRan.Add(1)
						d.rec.add("REFUSED: %s was answered %d and has run; order %d-%d is sent again", attempt, a.status, n, order)
					}
				}
				time.Sleep(orderInterval)
			}
		}()
	}
	wg.Wait()
	d.rec.summary("%d orders sent; %d were answered 429, 503, 408 or 421 and have run", sent.Load(), refusedButRan.Load())
	return refusedButRan.Load() > 0, nil
}
