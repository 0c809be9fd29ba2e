package main

import (
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"time"
)

// Sizes of the case refusal. The work, the slots and the route are those of services in huber-flags.toml.
const (
	refusalInstances = 8
	refusalReplicas  = 2
	refusalClients   = 64
	refusalLasts     = 40 * time.Second
	refusalWork      = 7500 * time.Microsecond
	refusalSlots     = 2
	refusalQueue     = 2
	refusalPause     = 110 * time.Millisecond // mean pause of a client between orders
	// The disruption: the replicas that send second answers, the share of their answers of
	// which they do at most, for how long, and the pause before they do so again.
	faultyReplicas = refusalReplicas / 2
	copiedShare    = 0.03
	faultyFor      = 5 * time.Second
	faultyPause    = 3 * time.Second
)

// orderConfig is a configuration with one route, whose requests may run once only.
func orderConfig(prefix string) map[string]any {
	return map[string]any{
		"version": 1,
		"services": []any{map[string]any{
			"name": "workshop", "health-check-path": "/health", "max-connections": 26, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"routes": []any{map[string]any{
			"name": "orders", "hostname": "flags.example", "path-prefix": prefix, "type": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 300, "priority": 1, "max-attempts": 2, "service": "workshop", "allowed-regions": []string{},
		}},
	}
}

// busyReplica runs requests in its slots, queues a few more and rejects the rest.
type busyReplica struct {
	slots chan struct{}
	mu    sync.Mutex
	queue int
	// faulty is set if it sends some of its rejections once more, where the next answer on
	// the connection is expected. answers and copies are those while it does so.
	faulty          bool
	start           time.Time
	answers, copies int
}

func newBusyReplica(faulty bool) *busyReplica {
	return &busyReplica{slots: make(chan struct{}, refusalSlots), faulty: faulty, start: time.Now()}
}

// admit reports whether the request gets a slot or a place in the queue.
func (b *busyReplica) admit() bool {
	b.mu.Lock()
	if b.queue >= refusalSlots+refusalQueue {
		b.mu.Unlock()
		return false
	}
	b.queue++
	b.mu.Unlock()
	b.slots <- struct{}{}
	return true
}

func (b *busyReplica) release() {
	<-b.slots
	b.mu.Lock()
	b.queue--
	b.mu.Unlock()
}

// sendsAgain reports whether an answer is sent once more.
func (b *busyReplica) sendsAgain(rejection bool) bool {
	if !b.faulty || time.Since(b.start)%(faultyFor+faultyPause) >= faultyFor {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	if !rejection || float64(b.copies+1) > copiedShare*float64(b.answers) {
		return false
	}
	b.copies++
	return true
}

func (b *busyReplica) handle(r *replica, c *replicaConn, a *arrival) {
	if c.again != nil {
		r.rec.printf("replica %s sends a second copy of its last answer on connection %d, where that to %s is expected", r.id, c.number, a.attempt)
		c.Write(c.again) //nolint:errcheck // the next read shows a failure
		c.again = nil
	}
	var out []byte
	admitted := b.admit()
	if admitted {
		r.run(a)
		time.Sleep(refusalWork)
		b.release()
		out = r.format(a, 200, "sewn", false)
	} else {
		r.reject(a)
		out = r.format(a, 503, "", true)
	}
	if b.sendsAgain(!admitted) {
		c.again = out
	}
	c.Write(out) //nolint:errcheck // the next read shows a failure
}

// refusal sends orders to a service that is nearly full. Some replicas send a second copy
// of some of their answers, late.
func refusal(d *deployment, root string, trouble bool) (bool, error) {
	var replicas []*replica
	for n := range refusalReplicas {
		faulty := trouble && n < faultyReplicas
		r, err := startReplica(d.rec, d.store, fmt.Sprintf("i-%d", n), "workshop", "muenchen-ost", newBusyReplica(faulty).handle)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	d.store.put("config", "main", orderConfig("/orders/"))
	if err := d.startInstances(root, refusalInstances); err != nil {
		return false, err
	}
	answers := newAnswers()
	end := time.Now().Add(refusalLasts)
	var clients sync.WaitGroup
	for n := range refusalClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			orderInTurn(d.rec, d.instances[n%len(d.instances)].callers, n, refusalPause, end, answers)
		}()
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // for what would run later
	return answers.judge(d.rec, replicas), nil
}

// orderInTurn sends one order after the other on a kept connection, each as a new attempt.
// pause is the mean pause between them.
func orderInTurn(rec *record, address string, number int, pause time.Duration, end time.Time, answers *answers) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
		if c == nil {
			var err error
			if c, err = dial(address); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		body := strings.Repeat("x", 300)
		if _, err := io.WriteString(c, order("/orders/flag", id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body); err != nil {
			c.Close()
			c = nil
			continue
		}
		got, err := c.read("POST", 4*time.Second)
		answers.note(rec, id, got, err)
		if err != nil || got.closes {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// order is the head of an order.
func order(path, attempt, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: flags.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 3000\r\n" + fields + "\r\n"
}

// answers are what the clients got, by attempt.
type answers struct {
	mu     sync.Mutex
	status map[string]int // 0 without an answer
}

func newAnswers() *answers { return &answers{status: map[string]int{}} }

func (a *answers) note(rec *record, attempt string, r reply, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.status[attempt] = 0
		rec.printf("client of %s gets no answer: %v", attempt, err)
		return
	}
	a.status[attempt] = r.status
	rec.printf("client of %s gets %v", attempt, r)
}

// judge checks TWICE and REFUSED.
func (a *answers) judge(rec *record, replicas []*replica) (broken bool) {
	runs, byStatus := map[string]int{}, map[int]int{}
	for _, r := range replicas {
		for _, arrived := range r.seen() {
			if arrived.ran {
				runs[arrived.attempt]++
			}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	twice, refused := 0, 0
	for attempt, status := range a.status {
		byStatus[status]++
		if runs[attempt] > 1 {
			twice++
			rec.printf("TWICE: %s has run %d times, its client got %d", attempt, runs[attempt], status)
		}
		if promise := status == 429 || status == 503 || status == 408 || status == 421; promise && runs[attempt] > 0 {
			refused++
			rec.printf("REFUSED: %s was answered %d and has run %d times", attempt, status, runs[attempt])
		}
	}
	rec.printf("%d orders, answers by status %v; %d ran more than once, %d were refused and ran", len(a.status), byStatus, twice, refused)
	return twice+refused > 0
}
