package platform

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// ListedTarget is one target in the instance list.
type ListedTarget struct {
	Service     string `json:"service"`
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	State       string `json:"state"` // "live" or "leaving"
}

// InstancesUpdate is the body of POST /admin/instances.
type InstancesUpdate struct {
	Items  []ListedTarget `json:"items"`
	Remove []string       `json:"remove,omitempty"`
}

// listVersion is the whole list as it was from a time on.
type listVersion struct {
	at    time.Time
	items map[string]ListedTarget
}

// instanceList keeps earlier versions of the list, because readers are shown the
// list as it was ListLagMS ago.
type instanceList struct {
	mu       sync.Mutex
	versions []listVersion
}

func (l *instanceList) update(u InstancesUpdate, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]ListedTarget{}
	if n := len(l.versions); n > 0 {
		next = maps.Clone(l.versions[n-1].items)
	}
	for _, it := range u.Items {
		next[it.Name] = it
	}
	for _, name := range u.Remove {
		delete(next, name)
	}
	l.versions = append(l.versions, listVersion{now, next})
	// 500 to 1,000 versions reach back further than the longest lag of a test.
	if len(l.versions) > 1000 {
		l.versions = slices.Clone(l.versions[500:])
	}
}

func (l *instanceList) at(t time.Time) []ListedTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	items := []ListedTarget{}
	for _, v := range slices.Backward(l.versions) {
		if v.at.After(t) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(v.items)) {
			items = append(items, v.items[name])
		}
		break
	}
	return items
}
