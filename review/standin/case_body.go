package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() { cases["body"] = body }

// pause describes the pauses of replicas of shards: each stops reading and working for
// length once in every, at its own time.
type pause struct {
	length, every, offset time.Duration
	start                 time.Time
}

// wait waits for the end of a pause that is in progress.
func (p pause) wait() {
	if into := (time.Since(p.start) + p.offset) % p.every; into < p.length {
		time.Sleep(p.length - into)
	}
}

// body sends queries with long bodies over many shards. The disruption is that the
// replicas of shards pause.
func body(d *deployment, trouble bool) (bool, error) {
	const (
		shardCount  = 20
		bodyBytes   = 192 << 10 // the configuration allows 262144
		pauseLength = 150 * time.Millisecond
		pauseEvery  = 3600 * time.Millisecond
		work        = 5 * time.Millisecond
		playFor     = 35 * time.Second
		// A replica reads a body at 10 MB/s, as over a link of some milliseconds with a
		// small window.
		readBytes    = 4 << 10
		readInterval = 400 * time.Microsecond
		// Each instance gets 10 queries a second on one kept connection; the next one is
		// sent at once if it is due when the last answer comes.
		queryInterval = 100 * time.Millisecond
	)
	var (
		mu      sync.Mutex
		sent    = map[string][]byte{} // bodies by attempt
		changed int
	)
	start := time.Now()
	var services []map[string]any
	var names []string
	for s := range shardCount {
		name := fmt.Sprintf("order-portal~%d", s)
		names, services = append(names, name), append(services, service(name, 26))
		for n := range 2 {
			id := fmt.Sprintf("i-%d-%d", s, n)
			p := pause{pauseLength, pauseEvery, time.Duration(s+n*shardCount) * pauseEvery / (2 * shardCount), start}
			behave := func(a *arrival) bool {
				var got []byte
				for chunk := make([]byte, readBytes); ; time.Sleep(readInterval) {
					if trouble {
						p.wait()
					}
					n, err := a.request.Body.Read(chunk)
					got = append(got, chunk[:n]...)
					if err == io.EOF {
						break
					}
					if err != nil {
						return false
					}
				}
				a.run()
				mu.Lock()
				want := sent[a.attempt]
				differs := want == nil || !bytes.Equal(want, got)
				if differs {
					changed++
				}
				mu.Unlock()
				if differs {
					d.rec.add("UNASKED: %s runs %s with a body that its client did not send: %s", id, a.attempt, describe(got))
				}
				time.Sleep(work)
				return a.answer(200, strings.Repeat(fmt.Sprintf("%016x", s*7919+n), 4))
			}
			if _, err := d.addReplica(id, name, zones[n].name, 2, linkOptions{segmentBytes: 1400, receiveBytes: 4 << 10}, behave); err != nil {
				return false, err
			}
		}
	}
	d.store.put("config", "main", config(1, []map[string]any{{
		"name": "pattern-match", "hostname": "search.example", "path-prefix": "/match/", "type": "idempotent", "timeout-ms": 1200,
		"target-latency-ms": 150, "max-attempts": 2, "priority": 1, "fanout-services": names, "top-k": 20, "min-shard-share": 0.89,
	}}, services))
	if err := d.start(); err != nil {
		return false, err
	}
	end := time.Now().Add(playFor)
	var wg sync.WaitGroup
	queries := 0
	for _, in := range d.instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *client
			for next := time.Now(); next.Before(end); next = next.Add(queryInterval) {
				if time.Since(next) > queryInterval {
					next = time.Now() // the last answer was late
				}
				time.Sleep(time.Until(next))
				if c == nil {
					var err error
					if c, err = dial(in.callers); err != nil {
						return
					}
				}
				attempt := newAttempt()
				text := strings.Repeat(attempt, bodyBytes/len(attempt))
				mu.Lock()
				sent[attempt] = []byte(text)
				queries++
				mu.Unlock()
				began := time.Now()
				if err := c.send("POST", "search.example", "/match/a", attempt, 1200*time.Millisecond, "", text); err != nil {
					c = nil
					continue
				}
				a := c.receive(2 * time.Second)
				d.rec.add("answer to %s after %d ms: %d missing=%s body=%dB err=%v", attempt, time.Since(began).Milliseconds(), a.status, a.header.Get("X-Missing-Parts"), len(a.body), a.err)
				if a.err != nil || a.close {
					c = nil
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	d.rec.summary("%d queries sent; %d runs at replicas had a body that their client did not send", queries, changed)
	return changed > 0, nil
}

// describe names the attempts whose bodies make up a body.
func describe(got []byte) string {
	var parts []string
	for at := 0; at+16 <= len(got); {
		id := string(got[at : at+16])
		end := at
		for end+16 <= len(got) && string(got[end:end+16]) == id {
			end += 16
		}
		parts = append(parts, fmt.Sprintf("%s to byte %d", id, end))
		at = end
	}
	return strings.Join(parts, ", ")
}
