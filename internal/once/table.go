package once

import (
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// maxEntries bounds the memory of the table: about 300 bytes an entry beside
// the answers.
const maxEntries = 100_000

// entry is one request that this process sends or sent. done is closed when
// result is set; result is not changed after that.
type entry struct {
	digest  string
	created time.Time
	done    chan struct{}
	result  outcome.Result
}

// table remembers the requests of this process by key. It is safe for
// concurrent use.
type table struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// begin returns the entry of the key. created is true if the caller has to
// run the request and to call finish. full is true if there is no room.
func (t *table) begin(key, digest string, now time.Time) (e *entry, created, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e, false, false
	}
	if len(t.entries) >= maxEntries {
		t.evict(now)
	}
	if len(t.entries) >= maxEntries {
		return nil, false, true
	}
	e = &entry{digest: digest, created: now, done: make(chan struct{})}
	t.entries[key] = e
	return e, true, false
}

// finish publishes the result. A request that was not run is forgotten, so
// that the caller may send it again.
func (t *table) finish(key string, e *entry, res outcome.Result) {
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

// evict removes entries whose keys are refused by their age.
func (t *table) evict(now time.Time) {
	for key, e := range t.entries {
		if now.Sub(e.created) > KeyLifetime {
			delete(t.entries, key)
		}
	}
}

// finished returns the entries with a result, by key.
func (t *table) finished() map[string]*entry {
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

// forget publishes the result to those who wait and removes the entry: the
// record of the key belongs to another process.
func (t *table) forget(key string, e *entry, res outcome.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = res
	close(e.done)
	delete(t.entries, key)
}
