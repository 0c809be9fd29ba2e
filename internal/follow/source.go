// Package follow keeps the catalog up to date with the platform's store: it
// lists each kind of object, watches it, and starts again after outages.
package follow

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone says that a watch cannot continue from its revision, so that
// the kind has to be listed again.
var ErrHistoryGone = errors.New("history is gone")

// Item is one object. Valid is false if its value could not be decoded.
type Item[T any] struct {
	Name     string
	Revision int64
	Value    T
	Valid    bool
	Raw      []byte // the value as the store sent it
}

// Change is a change of one object. A deleted object has its name only.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// Source reads one kind of object. Errors other than ErrHistoryGone mean that
// the store did not answer.
type Source[T any] interface {
	// List returns all objects and the revision from which a watch continues.
	List(ctx context.Context) ([]Item[T], int64, error)
	// Watch waits up to wait for changes after a revision. Without a change, it
	// returns none.
	Watch(ctx context.Context, since int64, wait time.Duration) ([]Change[T], int64, error)
	// Decode returns the item of an object as the store sent it.
	Decode(o RawObject) Item[T]
}

// Sink takes over what a Follower reads. Its methods are called by one
// goroutine.
type Sink[T any] interface {
	// Replace takes the whole list.
	Replace(items []Item[T])
	// Apply takes changes in their order.
	Apply(changes []Change[T])
}
