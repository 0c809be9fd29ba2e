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

// mirror is a follower's copy of the objects of its kind, undecoded, from which it
// answers other instances. It is safe for concurrent use.
type mirror struct {
	mu               sync.Mutex
	revision         int64 // all changes up to it are included
	changeUpperBound int64 // no object has changed between it and revision
	latestChange     int64 // of the latest change that is known to be included
	objects          map[string]RawObject
}

// Revision returns the revision up to which the kind was read; 0 if it has not
// been read yet.
func (m *mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// replace replaces all objects by a list. It reports false and changes nothing if
// the list has an earlier revision than the mirror.
func (m *mirror) replace(objects []RawObject, revision int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return false
	}
	m.revision, m.changeUpperBound, m.objects = revision, revision, make(map[string]RawObject, len(objects))
	for _, o := range objects {
		m.objects[o.Name] = o
		m.latestChange = max(m.latestChange, o.Revision)
	}
	return true
}

// advance applies the changes between the mirror's revision and a later one.
func (m *mirror) advance(changed []RawObject, deleted []string, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = max(m.revision, revision)
	if len(changed)+len(deleted) > 0 {
		m.changeUpperBound, m.latestChange = m.revision, m.revision
	}
	for _, o := range changed {
		m.objects[o.Name] = o
	}
	for _, name := range deleted {
		delete(m.objects, name)
	}
}

// LatestChange returns the revision of the latest change that is known to be
// included. A state with an earlier revision lacks that change.
func (m *mirror) LatestChange() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latestChange
}

// ListingSince returns the mirror's revision, which is 0 if the kind has not been read
// yet, and all objects if one of them may have changed after since.
func (m *mirror) ListingSince(since int64) (l Listing, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.Revision = m.revision
	if m.changeUpperBound > since {
		l.Objects = slices.Collect(maps.Values(m.objects))
	}
	return l, m.changeUpperBound > since
}

// Listing is the whole content of a kind at a revision.
type Listing struct {
	Revision int64
	Objects  []RawObject
}
