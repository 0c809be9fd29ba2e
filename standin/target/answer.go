package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// answerFaults holds how many of the next answers are faulty in each way, as set
// by Change. One answer uses up one of each way that is above zero.
type answerFaults struct {
	late, crossed, truncated, duplicated int
	lateBy                               time.Duration
}

type answer struct {
	id, attempt string
	body        map[string]any
}

// consume reports whether the counter was above zero, and if so lowers it by one.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// answer sends an answer. While answerFaults are set it sends it late, sends one
// to an earlier or invented request instead (crossed), breaks the connection after
// half of it (truncated) or sends it twice (duplicated).
func (t *Target) answer(w http.ResponseWriter, r *http.Request, a answer) {
	t.mu.Lock()
	late, crossed := consume(&t.answerFaults.late), consume(&t.answerFaults.crossed)
	truncated, duplicated := consume(&t.answerFaults.truncated), consume(&t.answerFaults.duplicated)
	lateBy := t.answerFaults.lateBy
	if late || crossed || truncated || duplicated {
		t.counts.FaultyAnswers++
	}
	own := a
	if crossed {
		a = t.previousAnswer
		if a.body == nil {
			a = answer{"other-request", "other-attempt", map[string]any{
				"request_id": "other-request", "attempt_id": "other-attempt",
				"snapshot": own.body["snapshot"], "shard": own.body["shard"],
				"complete": true, "count": 0, "items": []Item{}}}
		}
	}
	t.previousAnswer = own
	t.setHeadersLocked(w.Header())
	t.counts.Answered++
	t.mu.Unlock()
	if late && !sleep(r.Context(), lateBy) {
		return
	}
	body, err := json.Marshal(a.body)
	if err != nil {
		panic(err) // the body holds only strings, booleans and numbers, which always encode
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
