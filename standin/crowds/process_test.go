//go:build crowds

package crowds

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
)

const (
	// memoryBound is the memory of the smallest machine of the deployments in force.
	memoryBound = 184_000_000 // bytes
	// descriptorLimit is the limit of the processes that are short of descriptors, of
	// which they have to keep a part for their own connections.
	descriptorLimit = 400
	descriptorBound = 350
	// answerTimeout ends a test whose process hangs. It checks no time.
	answerTimeout = time.Minute
)

// limitDescriptors is the first argument with which the test binary replaces itself by
// another program that has fewer descriptors.
const limitDescriptors = "limit-descriptors"

// binDir holds the programs of the project.
var binDir string

func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == limitDescriptors {
		fmt.Fprintln(os.Stderr, execLimited(os.Args[2], os.Args[3:]))
		os.Exit(1)
	}
	os.Exit(harness.RunWithPrograms(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

// execLimited replaces this process by a program. It returns only if that fails.
func execLimited(limit string, args []string) error {
	n, err := strconv.ParseUint(limit, 10, 32)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		return err
	}
	return syscall.Exec(args[0], args, os.Environ())
}

// limitedLauncher runs the command line that follows it with descriptorLimit descriptors.
func limitedLauncher(t *testing.T) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{self, limitDescriptors, strconv.Itoa(descriptorLimit)}
}

// peakMemory returns the largest resident memory of a process so far, in bytes, or an
// error if the process has ended.
func peakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(value)[0])
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no peak memory: it has ended", pid)
}

// runawayMemory is where a process is killed, to spare the machine of the tests.
const runawayMemory = 8 * memoryBound

// killRunaway kills a process that takes runawayMemory, until the test ends.
func killRunaway(t *testing.T, p *harness.Process) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for !p.HasEnded() {
			if memory, err := peakMemory(p.Pid()); err == nil && memory > runawayMemory {
				t.Errorf("the process is killed with %d MB", memory/1_000_000)
				p.Kill()
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
}

// openDescriptors returns how many descriptors a process has open.
func openDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
