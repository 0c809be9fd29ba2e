package once

import (
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// maxEntries limits the memory of a table: an entry takes about 300 bytes plus
// the answer of the target.
const maxEntries = 100_000

// entry is one request that this process claims or sends, or has sent. done is
// closed once result is set; result does not change after that.
type entry struct {
	digest  string
	created time.Time
	done    chan struct{}
	result  outcome.Result
}

// table holds the requests of this process by key, so that a resend gets the
// result of the first submission. It is safe for concurrent use.
type table struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// getOrCreate returns the entry of the key. created is true if the call created
// it; the caller then has to run the request and to publish the result. full is
// true if the table has no room for a new entry.
func (t *table) getOrCreate(key, digest string, now time.Time) (e *entry, created, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e, false, false
	}
	if len(t.entries) >= maxEntries {
		t.evictExpired(now)
	}
	if len(t.entries) >= maxEntries {
		return nil, false, true
	}
	e = &entry{digest: digest, created: now, done: make(chan struct{})}
	t.entries[key] = e
	return e, true, false
}

// publishResult sets the result and wakes those who wait for it. The entry of a
// request that did not run is removed, so that the caller can send it again.
func (t *table) publishResult(key string, e *entry, res outcome.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = res
	close(e.done)
	if res.Code == outcome.NotRun || res.Code == outcome.Invalid {
		delete(t.entries, key)
	}
}

func (t *table) get(key string) *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[key]
}

// evictExpired removes the entries whose keys are refused because of their age.
func (t *table) evictExpired(now time.Time) {
	for key, e := range t.entries {
		if now.Sub(e.created) > KeyLifetime {
			delete(t.entries, key)
		}
	}
}

// finishedEntries returns the entries that have a result, by key.
func (t *table) finishedEntries() map[string]*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]*entry, len(t.entries))
	for key, e := range t.entries {
		select {
		case <-e.done:
			all[key] = e
		default:
		}
	}
	return all
}

// publishAndRemove sets the result, wakes those who wait for it and removes the
// entry, because this process does not own the claim of the key.
func (t *table) publishAndRemove(key string, e *entry, res outcome.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = res
	close(e.done)
	delete(t.entries, key)
}
