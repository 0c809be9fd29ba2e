package harness

import (
	"fmt"
	"os"
	"os/exec"
)

const module = "github.com/baobabsill/baobabsill"

// RunWithPrograms builds all programs of the project into a temporary directory, calls run
// with it and returns its exit code, or 1 if the build fails.
func RunWithPrograms(run func(binDir string) int) int {
	dir, err := os.MkdirTemp("", "baobabsill-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", module+"/cmd/...", module+"/standin/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return run(dir)
}
