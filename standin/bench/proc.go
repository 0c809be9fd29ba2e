package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc (USER_HZ, which is 100 on Linux).
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of processes: CPU and IO since their start, Resident
// and Connections at the time of the reading.
type Usage struct {
	CPU time.Duration
	// IO counts the bytes of read and write calls. Most of them are of sockets, but
	// those of the log and of reads of /proc count too.
	IO          int64
	Resident    int64 // bytes
	Connections int   // open sockets
}

// UsageOf returns the sum over processes.
func UsageOf(pids []int) (Usage, error) {
	var sum Usage
	for _, pid := range pids {
		if err := sum.addProcess(pid); err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// Since returns CPU and IO since an earlier reading; Resident and Connections remain
// those of u.
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
	// The second field is the name of the program in parentheses and may contain
	// spaces. fields begins with the third.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return fmt.Errorf("%sstat: %d fields", dir, len(fields))
	}
	number := func(s string) int64 { n, _ := strconv.ParseInt(s, 10, 64); return n }
	u.CPU += time.Duration(number(fields[11])+number(fields[12])) * clockTick
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

// Pids returns the process ids of the running instances.
func (r *Rig) Pids() []int {
	var pids []int
	for _, p := range r.Processes {
		if !p.HasEnded() {
			pids = append(pids, p.Pid())
		}
	}
	return pids
}
