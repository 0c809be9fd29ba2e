package follow

import (
	"maps"
	"slices"
	"sync"
)

// RawObject is an object as the store sent it.
type RawObject struct {
	Name     string
	Revision int64 // number of the revision of its last change
	Value    []byte
}

// mirror is a follower's copy of the objects of its kind, undecoded, from which it
// answers other instances. It is safe for concurrent use.
type mirror struct {
	mu               sync.Mutex
	revision         Revision // all changes up to it are included
	changeUpperBound Revision // no object has changed between it and revision
	latestChange     Revision // of the latest change that is known to be included
	objects          map[string]RawObject
}

// Revision returns the revision up to which the kind was read; zero if it has not
// been read yet.
func (m *mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// replace replaces all objects by a list. It reports false and changes nothing if
// the list has an earlier revision than the mirror.
func (m *mirror) replace(objects []RawObject, revision Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision.Before(m.revision) {
		return false
	}
	m.revision, m.changeUpperBound, m.objects = revision, revision, make(map[string]RawObject, len(objects))
	for _, o := range objects {
		m.objects[o.Name] = o
		m.latestChange = later(m.latestChange, Revision{revision.Era, o.Revision})
	}
	return true
}

// rawChange is a change of an object; only the name counts if it was deleted.
type rawChange struct {
	RawObject
	deleted bool
}

// advance applies the changes between the mirror's revision and a later one, in their
// order: an object may be deleted and created again, or the reverse, in one answer.
func (m *mirror) advance(changes []rawChange, revision Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = later(m.revision, revision)
	if len(changes) > 0 {
		m.changeUpperBound, m.latestChange = m.revision, m.revision
	}
	for _, c := range changes {
		if c.deleted {
			delete(m.objects, c.Name)
		} else {
			m.objects[c.Name] = c.RawObject
		}
	}
}

// LatestChange returns the revision of the latest change that is known to be
// included. A state with an earlier revision lacks that change.
func (m *mirror) LatestChange() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latestChange
}

// ListingSince returns the mirror's revision, which is zero if the kind has not been read
// yet, and all objects if one of them may have changed after since.
func (m *mirror) ListingSince(since Revision) (l Listing, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.Revision = m.revision
	changed = since.Before(m.changeUpperBound)
	if changed {
		l.Objects = slices.Collect(maps.Values(m.objects))
	}
	return l, changed
}

// Listing is the whole content of a kind at a revision.
type Listing struct {
	Revision Revision
	Objects  []RawObject
}
