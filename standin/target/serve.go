package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// cancelGrace is how long an arrival above the limit waits for the end of a
// cancelled request. The close of a connection and the next request of the
// same sender can be noticed in either order within about a millisecond.
const cancelGrace = 3 * time.Millisecond

type request struct {
	id, attempt, snapshot, shard string
	deadline                     time.Time
	body                         []byte
}

// read takes the request whole; net/http reports a closed connection only
// after the body was read.
func read(w http.ResponseWriter, r *http.Request) (request, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	ms, convErr := strconv.ParseInt(r.Header.Get("X-Deadline-Unix-Ms"), 10, 64)
	if err != nil || convErr != nil || !json.Valid(body) || r.Header.Get("X-Request-Id") == "" {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return request{}, false
	}
	return request{
		id: r.Header.Get("X-Request-Id"), attempt: r.Header.Get("X-Attempt-Id"),
		snapshot: r.Header.Get("X-Snapshot"), shard: r.Header.Get("X-Shard"),
		deadline: time.UnixMilli(ms), body: body,
	}, true
}

// admit takes a place for the request, or returns the X-Outcome of a refusal.
func (t *Target) admit(req request, search bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.counts.arrive(now, t.drainedAt, t.zoneOutAt)
	if t.drain == DrainRefuse {
		return "draining"
	}
	if !now.Before(req.deadline) {
		return "expired"
	}
	if _, ok := t.snapshots[req.snapshot].Shards[req.shard]; search && !ok {
		return "snapshot-gone"
	}
	if now.Before(t.fallenUntil) {
		t.warned = true
		return "shed"
	}
	// Another arrival may be refused during the wait; the sender of this one
	// could not know of it.
	warned := t.warned
	if over := t.running + 1 - t.limitLocked(now); over > 0 {
		t.awaitCancelledLocked(int64(over))
		now = time.Now()
	}
	cold := t.isColdLocked(now)
	offered := t.running + 1
	if cold {
		t.counts.MaxCold = max(t.counts.MaxCold, offered)
	} else {
		t.counts.MaxWarm = max(t.counts.MaxWarm, offered)
	}
	if offered <= t.limitLocked(now) {
		t.running++
		t.counts.Started++
		return ""
	}
	if cold {
		if warned {
			t.counts.ColdViolations++
		} else {
			t.counts.UnwarnedViolations++
		}
		t.fallenUntil = now.Add(millis(t.behaviour.FallOverMS))
		t.goColdLocked(t.fallenUntil, false)
		t.warned = true
	}
	return "shed"
}

func (t *Target) limitLocked(now time.Time) int {
	if t.isColdLocked(now) {
		return t.behaviour.BearsCold
	}
	return t.behaviour.Slots
}

// awaitCancelledLocked waits until n more requests were cancelled, at most for
// cancelGrace. Requests that finish in that time do not count, so a sender that
// offers too much is still found out.
func (t *Target) awaitCancelledLocked(n int64) {
	goal := t.cancelled + n
	for end := time.Now().Add(cancelGrace); t.cancelled < goal && time.Now().Before(end); {
		t.mu.Unlock()
		time.Sleep(200 * time.Microsecond)
		t.mu.Lock()
	}
}

// work holds the place for the service time. It returns false if the request
// was cancelled or, with stopAtDeadline, if its deadline passed.
func (t *Target) work(ctx context.Context) bool {
	t.mu.Lock()
	now := time.Now()
	d := t.timing.service(t.behaviour, t.isColdLocked(now)) + t.slow
	t.mu.Unlock()
	for {
		if !sleep(ctx, d) {
			return false
		}
		t.mu.Lock()
		now = time.Now()
		until := t.timing.pausedUntil(t.behaviour, now)
		if t.pauseUntil.After(until) {
			until = t.pauseUntil
		}
		t.mu.Unlock()
		if d = until.Sub(now); d <= 0 {
			return true
		}
	}
}

// leave gives the place back.
func (t *Target) leave(cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if cancelled {
		t.cancelled++
		t.counts.Cancelled++
		return
	}
	t.coldAnswers++
	t.warned = t.warned || t.warnsByAnswer
}

func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	req, ok := read(w, r)
	if !ok {
		return
	}
	if reason := t.admit(req, true); reason != "" {
		t.refuse(w, req, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	done := t.work(ctx)
	t.leave(!done)
	if !done {
		if r.Context().Err() == nil {
			t.refuse(w, req, "expired")
		}
		return
	}
	n, ok := t.shardSize(req)
	if !ok {
		t.refuse(w, req, "snapshot-gone")
		return
	}
	t.answer(w, r, answer{req.id, req.attempt, map[string]any{
		"request_id": req.id, "attempt_id": req.attempt, "snapshot": req.snapshot,
		"shard": req.shard, "complete": true, "count": n,
		"items": itemsOf(req.snapshot, req.shard, textOf(req.body, "q"), n),
	}})
}

// serveExecute counts the request as run from its start. Neither a closed
// connection nor the deadline undoes a run, so no later refusal is possible.
func (t *Target) serveExecute(w http.ResponseWriter, r *http.Request) {
	req, ok := read(w, r)
	if !ok {
		return
	}
	if reason := t.admit(req, false); reason != "" {
		t.refuse(w, req, reason)
		return
	}
	key := textOf(req.body, "key")
	if key == "" {
		key = req.id
	}
	t.mu.Lock()
	t.runs[key]++
	if t.runs[key] > 1 {
		t.counts.Duplicates++
	}
	t.mu.Unlock()
	done := t.work(r.Context())
	t.leave(!done)
	if done {
		t.answer(w, r, answer{req.id, req.attempt, map[string]any{
			"request_id": req.id, "attempt_id": req.attempt, "ran": true,
			"result": map[string]string{"key": key, "target": t.name},
		}})
	}
}

func (t *Target) shardSize(req request) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.snapshots[req.snapshot].Shards[req.shard]
	return n, ok
}

// refuse names the request and the attempt as answers do, so that a sender can
// tell a refusal of its own request from a crossed one.
func (t *Target) refuse(w http.ResponseWriter, req request, reason string) {
	t.mu.Lock()
	t.counts.Refused[reason]++
	t.headLocked(w.Header())
	t.mu.Unlock()
	code := map[string]int{"expired": http.StatusRequestTimeout, "snapshot-gone": http.StatusGone}[reason]
	if code == 0 {
		code = http.StatusServiceUnavailable
	}
	w.Header().Set("X-Request-Id", req.id)
	w.Header().Set("X-Attempt-Id", req.attempt)
	w.Header().Set("X-Outcome", reason)
	w.WriteHeader(code)
}

func (t *Target) headLocked(h http.Header) {
	h.Set("X-Incarnation", t.incarnationLocked())
	switch t.drain {
	case DrainAnnounce, DrainHeader, DrainRefuse:
		h.Set("X-Drain", "true")
	}
}

// serveHealth and serveLoad mislead: they report a healthy, idle target
// whatever its state, so that a sender which believes them overloads it.
func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"status":"ok"}`)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"load":0,"in_flight":0,"warm":true}`)
}
