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
	// ErrConflict means that the current version of the object is not the one that
	// the call required. CurrentVersion returns the current version.
	ErrConflict = errs.Class("platform: version conflict")
	// ErrUnavailable means that the platform did not serve the call. A change
	// certainly did not take effect.
	ErrUnavailable = errs.Class("platform: unavailable")
	// ErrOutcomeUnknown means that a change was sent, but no valid answer arrived. The
	// change may have taken effect or may still do so.
	ErrOutcomeUnknown = errs.Class("platform: outcome unknown")
	// ErrRevisionGone means that the platform no longer has the changes after the
	// revision from which a watch starts. The kind has to be listed again.
	ErrRevisionGone = errs.Class("platform: revision gone")
	// ErrRejected means that the platform refused the call as malformed.
	ErrRejected = errs.Class("platform: rejected")
)

// versionConflict is an error that carries the current version of the object.
type versionConflict struct{ version int64 }

func (c versionConflict) Error() string { return fmt.Sprintf("current version is %d", c.version) }

// Conflict returns an error of class ErrConflict with the current version.
func Conflict(version int64) error { return ErrConflict.Wrap(versionConflict{version}) }

// CurrentVersion returns the version that an ErrConflict reported.
func CurrentVersion(err error) (int64, bool) {
	var c versionConflict
	if errors.As(err, &c) {
		return c.version, true
	}
	return 0, false
}
