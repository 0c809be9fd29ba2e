package platform

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error classes of the client. Test for them with Has, for example
// ErrNotFound.Has(err).
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errs.Class("platform: not found")
	// ErrConflict means that the object has another version than the one that
	// the call asked for. CurrentVersion returns it.
	ErrConflict = errs.Class("platform: version conflict")
	// ErrUnavailable means that the platform did not serve the call. A change
	// certainly did not take effect.
	ErrUnavailable = errs.Class("platform: unavailable")
	// ErrUnknown means that a change was sent and its answer was lost. It may
	// have taken effect or may still do so.
	ErrUnknown = errs.Class("platform: outcome unknown")
	// ErrGone means that a watch starts too far back. List the kind again.
	ErrGone = errs.Class("platform: revision gone")
	// ErrRejected means that the platform refused the call as malformed.
	ErrRejected = errs.Class("platform: rejected")
)

type conflict struct{ version int64 }

func (c conflict) Error() string { return fmt.Sprintf("current version is %d", c.version) }

// Conflict returns an error of class ErrConflict with the current version.
func Conflict(version int64) error { return ErrConflict.Wrap(conflict{version}) }

// CurrentVersion returns the version that an ErrConflict reported.
func CurrentVersion(err error) (int64, bool) {
	var c conflict
	if errors.As(err, &c) {
		return c.version, true
	}
	return 0, false
}
