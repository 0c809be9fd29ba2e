package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["path"] = path }

// path sends requests whose path begins with two slashes, as clients build them that join
// a base of "/" and "/card/7". The disruption is a change of the configuration that adds a
// route with the prefix "/". Before it, these requests have no route.
func path(d *deployment, trouble bool) (bool, error) {
	const (
		replicaCount    = 7
		work            = 20 * time.Millisecond
		clientCount     = 6
		requests        = 60 // of each client
		requestInterval = 100 * time.Millisecond
		changeAfter     = 2 * time.Second
	)
	var mu sync.Mutex
	sent := map[string]string{} // paths by attempt
	var ran, changed atomic.Int64
	for i := range replicaCount {
		id := fmt.Sprintf("i-work-%d", i)
		behave := func(a *arrival) bool {
			a.run()
			ran.Add(1)
			mu.Lock()
			want := sent[a.attempt]
			mu.Unlock()
			// What the replica takes for the path, and the request line as it came.
			if got := a.request.URL.Path; got != want {
				changed.Add(1)
				d.rec.add("UNASKED: %s runs %s with the path %s (request target %s); its client sent %s", id, a.attempt, got, a.request.RequestURI, want)
			} else {
				d.rec.add("run %s by %s with the path %s", a.attempt, id, got)
			}
			time.Sleep(work)
			return a.answer(200, "card")
		}
		if _, err := d.addReplica(id, "workshop-floor", zones[i%3].name, 2, linkOptions{}, behave); err != nil {
			return false, err
		}
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "cards.example", "path-prefix": prefix, "type": "idempotent", "timeout-ms": 3000,
			"target-latency-ms": 300, "max-attempts": 2, "priority": 2, "service": "workshop-floor",
		}
	}
	services := []map[string]any{service("workshop-floor", 110)}
	d.store.put("config", "main", config(1, []map[string]any{route("stitch-card", "/card/")}, services))
	if err := d.start(); err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(changeAfter, func() {
			d.store.put("config", "main", config(4, []map[string]any{route("stitch-card", "/card/"), route("all-cards", "/")}, services))
			d.rec.add("version 4 accepted: adds a route with the prefix /")
		})
	}
	var statuses sync.Map
	var wg sync.WaitGroup
	for n := range clientCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *client
			for i := range requests {
				if c == nil {
					var err error
					if c, err = dial(d.instances[n%len(d.instances)].callers); err != nil {
						continue
					}
				}
				attempt, target := newAttempt(), fmt.Sprintf("/card/%d", i)
				if i%2 == 1 {
					target = "/" + target
				}
				mu.Lock()
				sent[attempt] = target
				mu.Unlock()
				if err := c.send("GET", "cards.example", target, attempt, 3*time.Second, "", ""); err != nil {
					c = nil
					continue
				}
				a := c.receive(4 * time.Second)
				d.rec.add("answer to %s (%s): %s", attempt, target, a)
				count, _ := statuses.LoadOrStore(a.status, new(atomic.Int64))
				count.(*atomic.Int64).Add(1)
				if a.err != nil || a.close {
					c = nil
				}
				time.Sleep(requestInterval)
			}
		}()
	}
	wg.Wait()
	statuses.Range(func(status, count any) bool {
		d.rec.summary("%d answers with status %d", count.(*atomic.Int64).Load(), status)
		return true
	})
	d.rec.summary("%d runs, %d of them with a path that the client did not send", ran.Load(), changed.Load())
	return changed.Load() > 0, nil
}
