//go:build !linux

package harness

import "syscall"

// childAttributes returns nothing: only Linux ends children with their parent.
func childAttributes() *syscall.SysProcAttr { return nil }
