package follow

import (
	"cmp"
	"fmt"
)

// Revision is a position in the history of the store. The store counts Number up with
// each change. When it comes back from a copy, Number goes back to that of the copy and
// is given out again, in the next era: the same number then stands for another state.
type Revision struct {
	Era, Number int64
}

// Before reports whether r is earlier than other.
func (r Revision) Before(other Revision) bool {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number)) < 0
}

// IsZero reports whether nothing was read yet.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the form that logs use.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// later returns the later of two revisions or times.
func later[T interface{ Before(T) bool }](a, b T) T {
	if a.Before(b) {
		return b
	}
	return a
}
