package examples

import (
	"bytes"
	"flag"
	"os"
	"os/exec"
	"testing"

	"github.com/baobabsill/baobabsill/declare"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against an unintended change of the printed configuration, and against
// printed output that Parse or Validate rejects.
func TestExamplesPrintGolden(t *testing.T) {
	for _, name := range []string{"huber", "wrapline"} {
		got, err := exec.Command("go", "run", "./"+name).Output()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		golden := name + "/golden.json"
		if *update {
			if err := os.WriteFile(golden, got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s differs from %s; run go test -update and read the diff", name, golden)
		}
		d, err := declare.Parse(got)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if errs := declare.Validate(d); errs != nil {
			t.Errorf("%s: %v", name, errs)
		}
		if len(d.Services) != 52 {
			t.Errorf("%s: %d services, want 50 many-shard and 2 small ones", name, len(d.Services))
		}
	}
}
