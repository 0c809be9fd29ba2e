package harness

import "syscall"

// childAttributes lets the kernel kill the child when the parent dies, even by
// SIGKILL, and keeps a terminal's interrupt away from it.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
