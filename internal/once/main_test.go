package once

import (
	"flag"
	"os"
	"testing"
)

// A fixed seed gives the property tests the same verdict on every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
