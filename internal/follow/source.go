// Package follow keeps the catalog up to date with the platform's store. It lists
// and watches each kind of object, recovers after outages of the store, and relays
// what it has read between instances.
package follow

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned by a watch if the store no longer has the changes
// after its revision. The kind has to be listed again.
var ErrHistoryGone = errors.New("history is gone")

// Item is one object of the store. Valid is false if its value could not be
// decoded.
type Item[T any] struct {
	Name     string
	Revision int64
	Value    T
	Valid    bool
	Raw      []byte // the value as the store sent it
}

// Change is a change of one object. Of a deleted object, only the name is
// used.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// Source reads one kind of object from the store. Errors other than
// ErrHistoryGone count as an outage of the store.
type Source[T any] interface {
	// List returns all objects and the revision from which a watch continues.
	List(ctx context.Context) ([]Item[T], Revision, error)
	// Watch waits up to wait for changes after since. It returns them, or none, and
	// the revision from which the next watch continues.
	Watch(ctx context.Context, since Revision, wait time.Duration) ([]Change[T], Revision, error)
	// Decode returns the item of an undecoded object.
	Decode(o RawObject) Item[T]
}

// Sink receives what a Follower reads. Its methods are not called concurrently.
type Sink[T any] interface {
	// Replace receives all objects of the kind.
	Replace(items []Item[T])
	// Apply receives changes in their order.
	Apply(changes []Change[T])
}
