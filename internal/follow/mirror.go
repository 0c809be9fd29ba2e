package follow

import (
	"maps"
	"slices"
	"sync"
)

// RawObject is an object as the store sent it.
type RawObject struct {
	Name     string
	Revision int64
	Value    []byte
}

// mirror holds the objects of a kind as they were read, so that other instances
// can ask for them. It is safe for concurrent use.
type mirror struct {
	mu       sync.Mutex
	revision int64 // up to which all changes are in
	changed  int64 // at or before which an object last changed
	seen     int64 // of the latest change that is known to be in
	objects  map[string]RawObject
}

// Revision returns the revision up to which the kind was read; 0 if it never was.
func (m *mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// replace takes a whole list. It reports false if the list is older than what is
// held.
func (m *mirror) replace(objects []RawObject, revision int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return false
	}
	m.revision, m.changed, m.objects = revision, revision, make(map[string]RawObject, len(objects))
	for _, o := range objects {
		m.objects[o.Name] = o
		m.seen = max(m.seen, o.Revision)
	}
	return true
}

// advance takes changes since the revision that is held.
func (m *mirror) advance(changed []RawObject, deleted []string, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = max(m.revision, revision)
	if len(changed)+len(deleted) > 0 {
		m.changed, m.seen = m.revision, m.revision
	}
	for _, o := range changed {
		m.objects[o.Name] = o
	}
	for _, name := range deleted {
		delete(m.objects, name)
	}
}

// Seen returns the revision of the latest change that is known to be in. The
// state at an earlier revision is incomplete.
func (m *mirror) Seen() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
}

// Held returns the revision that is held, 0 if the kind was never read, and all
// objects if one may have changed since a revision.
func (m *mirror) Held(since int64) (l Listing, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.Revision = m.revision
	if m.changed > since {
		l.Objects = slices.Collect(maps.Values(m.objects))
	}
	return l, m.changed > since
}

// Listing is the whole content of a kind at a revision.
type Listing struct {
	Revision int64
	Objects  []RawObject
}
