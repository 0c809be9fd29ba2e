package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	removedClients = 6
	removedPause   = 50 * time.Millisecond
	removedLasts   = 14 * time.Second
	// The disruption: one machine, the reader of its zone, is partitioned from the store
	// for cutFor, some times, the next one cutEvery after the one before.
	cutAt    = 2 * time.Second
	cutFor   = 300 * time.Millisecond
	cutEvery = 1000 * time.Millisecond
	cuts     = 12
	// Replicas differ in speed. Those that are removed take fastWork for a request.
	fastWork = 10 * time.Millisecond
	slowWork = 30 * time.Millisecond
	// removedAt is when the entry of a replica is removed, and removedEvery the time to the
	// next one, of removedReplicas. drainTime is drain-ms.
	removedAt       = 4 * time.Second
	removedEvery    = 600 * time.Millisecond
	removedReplicas = 3
	drainTime       = 3 * time.Second
	// coldTime is how long the replicas of another service stay cold, whose entries change
	// with each heartbeat meanwhile.
	coldTime     = 14 * time.Second
	coldReplicas = 8
)

// removed takes replicas out of the store's list, while another machine, from which the
// machine that takes the requests reads the list, is cut off from the store again and
// again for a moment.
func removed(d *deployment, root string, trouble bool) (bool, error) {
	var replicas []*replica
	for n := range removedReplicas + 1 {
		work := fastWork
		if n == removedReplicas {
			work = slowWork
		}
		r, err := startReplica(d.rec, d.store, fmt.Sprintf("i-%d", n), "workshop", "muenchen-ost", func(r *replica, c *replicaConn, a *arrival) {
			r.run(a)
			time.Sleep(work)
			r.send(c, a, 200, "card", false)
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	config := orderConfig("/cards/")
	config["routes"].([]any)[0].(map[string]any)["type"] = "idempotent"
	d.store.put("config", "main", config)
	p, err := startProxy(d.store.addr)
	if err != nil {
		return false, err
	}
	// The reader is the first instance of the zone by name.
	d.storeAddr = p.addr
	if _, err := d.startInstance(root, "frontend-muenchen-ost-1"); err != nil {
		return false, err
	}
	d.storeAddr = d.store.addr
	if _, err := d.startInstance(root, "frontend-muenchen-ost-2"); err != nil {
		return false, err
	}
	if err := d.awaitInstances(); err != nil {
		return false, err
	}
	begin := time.Now()
	if trouble {
		go cutAgainAndAgain(d.rec, p, begin)
	}
	for n := range coldReplicas {
		go reportCold(d.store, n, begin)
	}
	gone := make(chan map[string]time.Time, 1)
	go func() {
		at := map[string]time.Time{}
		for n, r := range replicas[:removedReplicas] {
			time.Sleep(time.Until(begin.Add(removedAt + time.Duration(n)*removedEvery)))
			d.store.drop("servers", r.id)
			at[r.id] = time.Now()
			d.rec.printf("the store has acknowledged that %s is gone; it goes on serving", r.id)
		}
		gone <- at
	}()
	sent := sendCards(d, d.instances[1].callers, begin.Add(removedLasts))
	at, late := <-gone, 0
	for _, r := range replicas[:removedReplicas] {
		late += countLate(d.rec, r, sent, at[r.id])
	}
	return late > 0, nil
}

func cutAgainAndAgain(rec *record, p *proxy, begin time.Time) {
	for n := range cuts {
		time.Sleep(time.Until(begin.Add(cutAt + time.Duration(n)*cutEvery)))
		rec.printf("frontend-muenchen-ost-1 is partitioned from the store")
		p.setCut(true)
		time.Sleep(cutFor)
		p.setCut(false)
		rec.printf("frontend-muenchen-ost-1 reaches the store again")
	}
}

// reportCold writes the entry of a replica of another service that has just started.
func reportCold(s *store, number int, begin time.Time) {
	time.Sleep(time.Duration(number) * heartbeat / coldReplicas)
	for n := 1; time.Since(begin) < coldTime; n++ {
		s.put("servers", fmt.Sprintf("i-cold-%d", number), map[string]any{
			"service": "shipping", "address": fmt.Sprintf("127.0.0.1:%d", number+1), "zone": "muenchen-ost", "version": "1", "slots": 2, "state": "ready",
			"warmup-left-ms": (coldTime - time.Since(begin)).Milliseconds(), "sequence": n, "born": begin.UnixMilli(),
		})
		time.Sleep(heartbeat)
	}
}

// sendCards sends requests until a time and returns when each was sent.
func sendCards(d *deployment, address string, end time.Time) map[string]time.Time {
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for g := range removedClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := dial(address)
			for n := 0; err == nil && time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", g, n)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				if _, err = io.WriteString(c, "GET /cards/7 HTTP/1.1\r\nHost: flags.example\r\nX-Attempt-Id: "+id+"\r\nX-Deadline-Ms: 3000\r\n\r\n"); err != nil {
					break
				}
				var got reply
				if got, err = c.read("GET", 4*time.Second); err == nil && got.closes {
					c.Close()
					c, err = dial(address)
				}
				time.Sleep(removedPause)
			}
			if err != nil {
				d.rec.printf("client %d ends: %v", g, err)
			}
		}()
	}
	clients.Wait()
	return sent
}

// countLate counts the requests that break DRAIN.
func countLate(rec *record, r *replica, sent map[string]time.Time, gone time.Time) int {
	late, last := 0, time.Duration(0)
	for _, a := range r.seen() {
		if after := sent[a.attempt].Sub(gone); after > drainTime {
			late, last = late+1, max(last, after)
		}
	}
	rec.printf("DRAIN: of %d requests, %d that were sent later than %v after the acknowledgement reached %s, the last %v after it", len(sent), late, drainTime, r.id, last)
	return late
}
