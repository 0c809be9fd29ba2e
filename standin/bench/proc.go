package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor times in /proc: USER_HZ is 100 on Linux.
const tick = 10 * time.Millisecond

// Usage is what processes have used so far, or at present.
type Usage struct {
	CPU time.Duration
	// IO counts the bytes of read and write calls. Sockets are most of it; the
	// log and reads of /proc are in it too.
	IO          int64
	Resident    int64 // bytes, at present
	Connections int   // open sockets, at present
}

// UsageOf sums the usage of processes.
func UsageOf(pids []int) (Usage, error) {
	var sum Usage
	for _, pid := range pids {
		if err := sum.addProcess(pid); err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// Since returns the usage since an earlier reading, with the present values of
// memory and connections.
func (u Usage) Since(before Usage) Usage {
	u.CPU -= before.CPU
	u.IO -= before.IO
	return u
}

func (u *Usage) addProcess(pid int) error {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return err
	}
	// The name in parentheses may have spaces; field 3 follows it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return fmt.Errorf("%sstat: %d fields", dir, len(fields))
	}
	number := func(s string) int64 { n, _ := strconv.ParseInt(s, 10, 64); return n }
	u.CPU += time.Duration(number(fields[11])+number(fields[12])) * tick
	u.Resident += number(fields[21]) * int64(os.Getpagesize())
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(io)) {
		if key, value, _ := strings.Cut(line, ":"); key == "rchar" || key == "wchar" {
			u.IO += number(strings.TrimSpace(value))
		}
	}
	open, err := os.ReadDir(dir + "fd")
	if err != nil {
		return err
	}
	for _, fd := range open {
		if link, err := os.Readlink(dir + "fd/" + fd.Name()); err == nil && strings.HasPrefix(link, "socket:") {
			u.Connections++
		}
	}
	return nil
}

// Pids returns the processes of all instances that run.
func (r *Rig) Pids() []int {
	var pids []int
	for _, p := range r.Processes {
		if !p.HasEnded() {
			pids = append(pids, p.Pid())
		}
	}
	return pids
}
