package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// spoil counts the next answers that go wrong in each way.
type spoil struct {
	late, crossed, truncated, duplicated int
	lateBy                               time.Duration
}

type answer struct {
	id, attempt string
	body        map[string]any
}

// take reports whether the counter was above zero, and lowers it.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// answer writes the reply, or a spoilt one while a fault is set.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, a answer) {
	t.mu.Lock()
	late, crossed := take(&t.spoil.late), take(&t.spoil.crossed)
	truncated, duplicated := take(&t.spoil.truncated), take(&t.spoil.duplicated)
	lateBy := t.spoil.lateBy
	if late || crossed || truncated || duplicated {
		t.counts.Spoilt++
	}
	own := a
	if crossed {
		a = t.last
		if a.body == nil {
			a = answer{"other-request", "other-attempt", map[string]any{
				"request_id": "other-request", "attempt_id": "other-attempt",
				"snapshot": own.body["snapshot"], "shard": own.body["shard"],
				"complete": true, "count": 0, "items": []Item{}}}
		}
	}
	t.last = own
	t.headLocked(w.Header())
	t.counts.Answered++
	t.mu.Unlock()
	if late && !sleep(r.Context(), lateBy) {
		return
	}
	body, err := json.Marshal(a.body)
	if err != nil {
		panic(err) // the body consists of strings and numbers
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", a.id)
	h.Set("X-Attempt-Id", a.attempt)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	switch {
	case truncated:
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case duplicated:
		writeTwice(w, body)
	default:
		_, _ = w.Write(body)
	}
}

// writeTwice sends the whole HTTP response twice on one connection.
func writeTwice(w http.ResponseWriter, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = c.Write(bytes.Repeat(b.Bytes(), 2))
}
