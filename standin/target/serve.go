package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// cancelGrace is how long an arrival above the limit waits for a running request
// to be cancelled. A sender that closes a connection may send its next request at
// once, and the target can notice the two in either order within about 1 ms.
const cancelGrace = 3 * time.Millisecond

// request is a request of baobabsill to a target.
type request struct {
	id, attempt, snapshot, shard string
	deadline                     time.Time
	body                         []byte
}

// readRequest reads a request, or answers 400 and returns false. It reads the
// whole body, because net/http notices that a connection was closed, and cancels
// the context of the request, only after that.
func readRequest(w http.ResponseWriter, r *http.Request) (request, bool) {
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

// admit counts the arrival and takes a slot for the request, or returns the
// X-Outcome of a refusal. A cold target that is offered more than it bears sheds
// everything for Behaviour.OverloadMS and then starts cold again.
func (t *Target) admit(req request, search bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.counts.recordArrival(now, t.drainedAt, t.zoneOutAt)
	if t.drain == DrainRefuse {
		return "draining"
	}
	if !now.Before(req.deadline) {
		return "expired"
	}
	if _, ok := t.snapshots[req.snapshot].Shards[req.shard]; search && !ok {
		return "snapshot-gone"
	}
	if now.Before(t.shedUntil) {
		t.warned = true
		return "shed"
	}
	// The lock is released during the wait. A refusal of another arrival in that
	// time sets t.warned, but the sender of this one could not know of it.
	warned := t.warned
	if over := t.runningRequests + 1 - t.limitLocked(now); over > 0 {
		t.awaitCancelledLocked(int64(over))
		now = time.Now()
	}
	cold := t.isColdLocked(now)
	offered := t.runningRequests + 1
	if cold {
		t.counts.MaxCold = max(t.counts.MaxCold, offered)
	} else {
		t.counts.MaxWarm = max(t.counts.MaxWarm, offered)
	}
	if offered <= t.limitLocked(now) {
		t.runningRequests++
		t.counts.Started++
		return ""
	}
	if cold {
		if warned {
			t.counts.ColdViolations++
		} else {
			t.counts.UnwarnedViolations++
		}
		t.shedUntil = now.Add(millis(t.behaviour.OverloadMS))
		t.startColdLocked(t.shedUntil, false)
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
// cancelGrace. It releases the lock meanwhile. Requests that finish in that time
// do not end the wait early.
func (t *Target) awaitCancelledLocked(n int64) {
	goal := t.cancelled + n
	for end := time.Now().Add(cancelGrace); t.cancelled < goal && time.Now().Before(end); {
		t.mu.Unlock()
		time.Sleep(200 * time.Microsecond)
		t.mu.Lock()
	}
}

// simulateService sleeps for the service time and for pauses that cover its end.
// It returns false if the context ended first.
func (t *Target) simulateService(ctx context.Context) bool {
	t.mu.Lock()
	now := time.Now()
	d := t.timing.serviceTime(t.behaviour, t.isColdLocked(now)) + t.extraServiceTime
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

// release gives back the slot of a request that was cancelled or ran to its end.
func (t *Target) release(cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runningRequests--
	if cancelled {
		t.cancelled++
		t.counts.Cancelled++
		return
	}
	t.coldAnswers++
	t.warned = t.warned || t.answersWarn
}

func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	req, ok := readRequest(w, r)
	if !ok {
		return
	}
	if reason := t.admit(req, true); reason != "" {
		t.refuse(w, req, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	done := t.simulateService(ctx)
	t.release(!done)
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
		"items": makeItems(req.snapshot, req.shard, stringField(req.body, "q"), n),
	}})
}

// serveExecute counts the request as run when it is admitted. It is never refused
// after that: neither a closed connection nor the deadline undoes a run.
func (t *Target) serveExecute(w http.ResponseWriter, r *http.Request) {
	req, ok := readRequest(w, r)
	if !ok {
		return
	}
	if reason := t.admit(req, false); reason != "" {
		t.refuse(w, req, reason)
		return
	}
	key := stringField(req.body, "key")
	if key == "" {
		key = req.id
	}
	t.mu.Lock()
	t.runs[key]++
	if t.runs[key] > 1 {
		t.counts.Duplicates++
	}
	t.mu.Unlock()
	done := t.simulateService(r.Context())
	t.release(!done)
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

// refuse sends a refusal. Like an answer it names the request and the attempt, so
// that a sender can tell a refusal of its own request from one of another.
func (t *Target) refuse(w http.ResponseWriter, req request, reason string) {
	t.mu.Lock()
	t.counts.Refused[reason]++
	t.setHeadersLocked(w.Header())
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

func (t *Target) setHeadersLocked(h http.Header) {
	h.Set("X-Incarnation", t.incarnationLocked())
	switch t.drain {
	case DrainAnnounce, DrainHeader, DrainRefuse:
		h.Set("X-Drain", "true")
	}
}

// serveHealth and serveLoad report a healthy, idle and warm target whatever its
// state, so that a sender that relies on them overloads it.
func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"status":"ok"}`)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"load":0,"in_flight":0,"warm":true}`)
}
