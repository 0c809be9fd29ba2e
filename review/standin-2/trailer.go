package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	trailerInstances = 2
	trailerClients   = 12 // of each instance
	trailerLasts     = 20 * time.Second
	trailerEvery     = 2 * time.Second
	trailerWork      = 60 * time.Millisecond
	// restartDelay is after what time the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// lostAllowed is how many requests a machine may pass on and leave without an answer.
	lostAllowed = 3
)

// trailer lets one of many clients send requests with an empty Trailer field, which names
// no trailer.
func trailer(d *deployment, root string, trouble bool) (bool, error) {
	r, err := startReplica(d.rec, d.store, "i-0", "workshop", "muenchen-ost", func(r *replica, c *replicaConn, a *arrival) {
		r.run(a)
		time.Sleep(trailerWork)
		r.send(c, a, 200, "sewn", false)
	})
	if err != nil {
		return false, err
	}
	d.store.put("config", "main", orderConfig("/orders/"))
	if err := d.startInstances(root, trailerInstances); err != nil {
		return false, err
	}
	end := time.Now().Add(trailerLasts)
	ends := d.keepRunning(end)
	lost := &lostRequests{byInstance: map[string][]string{}}
	var clients sync.WaitGroup
	for n := range trailerInstances * trailerClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lost.orderUntil(d.rec, d.instances[n%trailerInstances], n, end)
		}()
	}
	sendWithField(d, trouble, end)
	clients.Wait()
	time.Sleep(time.Second)
	return lost.judge(d.rec, r, ends()), nil
}

// sendWithField sends a chunked order now and then, to each instance in turn.
func sendWithField(d *deployment, trouble bool, end time.Time) {
	field := ""
	if trouble {
		field = "Trailer: X-Sum, , X-Length\r\n"
	}
	for n := 0; time.Now().Add(trailerEvery).Before(end); n++ {
		time.Sleep(trailerEvery)
		i := d.instances[n%len(d.instances)]
		c, err := dial(i.callers)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("t-%d", n)
		d.rec.printf("client sends %s to %s, with the field %q", id, i.name, field)
		io.WriteString(c, order("/orders/flag", id, "Transfer-Encoding: chunked\r\n"+field)+"4\r\nflag\r\n0\r\n\r\n") //nolint:errcheck // the read shows a failure
		got, err := c.read("POST", 3*time.Second)
		d.rec.printf("client of %s gets %v, %v", id, got, err)
		c.Close()
	}
}

// lostRequests are those whose connection ended without an answer, by instance.
type lostRequests struct {
	mu         sync.Mutex
	answered   int
	byInstance map[string][]string
}

// orderUntil sends one order after the other on a kept connection.
func (l *lostRequests) orderUntil(rec *record, i *instance, number int, end time.Time) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		if c == nil {
			var err error
			if c, err = dial(i.callers); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		if _, err := io.WriteString(c, order("/orders/flag", id, "Content-Length: 4\r\n")+"flag"); err != nil {
			c.Close()
			c = nil
			continue
		}
		got, err := c.read("POST", 4*time.Second)
		l.mu.Lock()
		if err == nil {
			l.answered++
		} else {
			l.byInstance[i.name] = append(l.byInstance[i.name], id)
			rec.printf("client of %s at %s: the connection ends without an answer: %v", id, i.name, err)
		}
		l.mu.Unlock()
		if err != nil || got.closes {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// judge checks LOST.
func (l *lostRequests) judge(rec *record, r *replica, ends map[string]int) (broken bool) {
	passedOn := map[string]bool{}
	for _, a := range r.seen() {
		passedOn[a.attempt] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.printf("%d requests were answered", l.answered)
	for name, ids := range l.byInstance {
		n := 0
		for _, id := range ids {
			if passedOn[id] {
				n++
			}
		}
		rec.printf("LOST at %s: %d requests were passed on and not answered", name, n)
		broken = broken || n > lostAllowed
	}
	for name, n := range ends {
		rec.printf("the process of %s has ended by itself %d times", name, n)
	}
	return broken
}
