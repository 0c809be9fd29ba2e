// Package platformtest provides an in-memory platform for tests.
package platformtest

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/baobabsill/baobabsill/internal/platform"
)

// Fault selects how the fake platform answers calls.
type Fault int

// Faults.
const (
	Healthy Fault = iota
	// Down refuses all calls with ErrUnavailable; no write takes effect.
	Down
	// LoseAnswer lets writes take effect, but returns ErrOutcomeUnknown.
	LoseAnswer
	// LoseRequest returns ErrOutcomeUnknown for writes, and none takes effect.
	LoseRequest
)

type objectKey struct{ kind, name string }

// Fake implements the object API in memory. It is safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	version int64
	objects map[objectKey]platform.Object
	fault   Fault
	writes  int
}

// NewFake returns an empty, healthy platform.
func NewFake() *Fake { return &Fake{objects: map[objectKey]platform.Object{}} }

// SetFault changes how the next calls are answered.
func (f *Fake) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Writes returns the number of calls of Put and Delete, including failed ones.
func (f *Fake) Writes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

// Get returns one object.
func (f *Fake) Get(_ context.Context, kind, name string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == Down {
		return platform.Object{}, platform.ErrUnavailable.New("down")
	}
	obj, ok := f.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound.New("%s/%s", kind, name)
	}
	return obj, nil
}

// Put writes one object if its current version is ifVersion (0: it must not
// exist).
func (f *Fake) Put(_ context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error) {
	err := f.write(objectKey{kind, name}, ifVersion, func(k objectKey) {
		f.objects[k] = platform.Object{Kind: kind, Name: name, Version: f.version, Value: value}
	})
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects[objectKey{kind, name}].Version, nil
}

// Delete removes one object if its current version is ifVersion.
func (f *Fake) Delete(_ context.Context, kind, name string, ifVersion int64) error {
	return f.write(objectKey{kind, name}, ifVersion, func(k objectKey) { delete(f.objects, k) })
}

// List returns the objects of one kind.
func (f *Fake) List(_ context.Context, kind string) ([]platform.Object, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == Down {
		return nil, 0, platform.ErrUnavailable.New("down")
	}
	var items []platform.Object
	for k, obj := range f.objects {
		if k.kind == kind {
			items = append(items, obj)
		}
	}
	return items, f.version, nil
}

// write counts a write and applies change, subject to the fault that is set.
func (f *Fake) write(k objectKey, ifVersion int64, change func(objectKey)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	switch f.fault {
	case Down:
		return platform.ErrUnavailable.New("down")
	case LoseRequest:
		return platform.ErrOutcomeUnknown.New("request lost")
	}
	if current := f.objects[k].Version; current != ifVersion {
		return platform.Conflict(current)
	}
	f.version++
	change(k)
	if f.fault == LoseAnswer {
		return platform.ErrOutcomeUnknown.New("answer lost")
	}
	return nil
}
