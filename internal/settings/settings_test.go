package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against a fault of a settings file that is accepted, reported without
// its line, or hidden by another fault of the same file.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(_ *testing.T, d *datadriven.TestData) string {
		s, errs := Parse("instance.ini", []byte(d.Input))
		var b strings.Builder
		for _, err := range errs {
			fmt.Fprintln(&b, err)
		}
		if len(errs) == 0 {
			fmt.Fprintf(&b, "%+v\n", s)
		}
		return b.String()
	})
}
