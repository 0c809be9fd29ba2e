package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	failingInstances = 8
	failingReplicas  = 3
	failingClients   = 32
	failingLasts     = 20 * time.Second
	failingWork      = 60 * time.Millisecond
	failingPause     = 200 * time.Millisecond
	// The disruption: one replica of three fails a share of its requests, for some time.
	failingShare = 0.4
	failingAt    = 6 * time.Second
	failingFor   = 6 * time.Second
)

// failing sends orders to a service of which one replica fails a part of its requests
// after it has run them. Its answers to these have status 503 and its signature, and do
// not say that the request was not run.
func failing(d *deployment, root string, trouble bool) (bool, error) {
	var replicas []*replica
	var begin time.Time
	for n := range failingReplicas {
		faulty := trouble && n == 0
		r, err := startReplica(d.rec, d.store, fmt.Sprintf("i-%d", n), "workshop", "muenchen-ost", func(r *replica, c *replicaConn, a *arrival) {
			r.run(a)
			time.Sleep(failingWork)
			if at := time.Since(begin); faulty && at > failingAt && at < failingAt+failingFor && rand.Float64() < failingShare {
				d.rec.printf("replica %s fails %s after it has run", r.id, a.attempt)
				r.send(c, a, 503, "workshop failed", false)
				return
			}
			r.send(c, a, 200, "sewn", false)
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	d.store.put("config", "main", orderConfig("/orders/"))
	if err := d.startInstances(root, failingInstances); err != nil {
		return false, err
	}
	begin = time.Now()
	answers, end := newAnswers(), begin.Add(failingLasts)
	var clients sync.WaitGroup
	for n := range failingClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			orderInTurn(d.rec, d.instances[n%failingInstances].callers, n, failingPause, end, answers)
		}()
	}
	clients.Wait()
	time.Sleep(time.Second)
	return answers.judge(d.rec, replicas), nil
}
