//go:build !linux

package harness

import "syscall"

// childAttributes returns nil: only on Linux does the harness have the kernel
// kill the children of a parent that dies.
func childAttributes() *syscall.SysProcAttr { return nil }
