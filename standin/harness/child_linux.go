package harness

import "syscall"

// childAttributes makes the kernel kill a child when its parent dies, even by
// SIGKILL. A process group of its own keeps a terminal's interrupt away from it.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
