package harness

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a child process of a Supervisor. Its output goes to a file.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // how it ended; set before done is closed
}

// Supervisor starts processes, and kills those that still run when it is closed.
// It is safe for concurrent use.
type Supervisor struct {
	dir        string
	startCalls chan func()

	mu        sync.Mutex
	processes []*Process
}

// NewSupervisor returns a supervisor that writes the output of its processes
// into dir.
func NewSupervisor(dir string) *Supervisor {
	s := &Supervisor{dir: dir, startCalls: make(chan func())}
	// The kernel kills a child when the thread that started it ends, not only
	// when the process does. One thread therefore starts all children and lives
	// as long as the program.
	go func() {
		runtime.LockOSThread()
		for f := range s.startCalls {
			f()
		}
	}()
	return s
}

// Start starts a program. Its standard output and error go to NAME.log.
func (s *Supervisor) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = childAttributes()
	started := make(chan error, 1)
	s.startCalls <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

// StartListening starts a stand-in and returns the address that it prints once
// it listens.
func (s *Supervisor) StartListening(ctx context.Context, name, program string, args ...string) (string, error) {
	p, err := s.Start(name, program, args...)
	if err != nil {
		return "", err
	}
	for {
		if address := s.printedAddress(name); address != "" {
			return address, nil
		}
		select {
		case <-p.done:
			return "", fmt.Errorf("%s ended: %w; %s", name, p.Err(), s.Tail(name))
		case <-ctx.Done():
			return "", fmt.Errorf("%s printed no address: %w", name, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *Supervisor) printedAddress(name string) string {
	f, err := os.Open(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return ""
	}
	defer f.Close()
	line, err := bufio.NewReader(f).ReadString('\n')
	if err != nil {
		return ""
	}
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	if !ok {
		return ""
	}
	return address
}

// Tail returns the last bytes of the output of a process, for error messages.
func (s *Supervisor) Tail(name string) string {
	f, err := os.Open(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return ""
	}
	defer f.Close()
	const tailBytes = 2000
	if end, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, end-tailBytes), io.SeekStart)
	}
	b, _ := io.ReadAll(io.LimitReader(f, tailBytes))
	return string(b)
}

// Stop sends SIGTERM to all given processes at once and waits for them. It
// kills those that still run after the timeout. The error names each process
// that did not end by itself with exit code 0.
func Stop(timeout time.Duration, processes ...*Process) error {
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	expired := time.After(timeout)
	var errs []error
	for _, p := range processes {
		select {
		case <-p.done:
		case <-expired:
			_ = p.cmd.Process.Kill()
			<-p.done
			expired = time.After(0)
		}
		if p.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", p.Name, p.err))
		}
	}
	return errors.Join(errs...)
}

// Kill sends SIGKILL, which has the effect of a crash, and waits for the end of
// the process.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Signal sends a signal, for example SIGSTOP and SIGCONT for a pause.
func (p *Process) Signal(sig os.Signal) error { return p.cmd.Process.Signal(sig) }

// Pid returns the process identifier.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Err waits for the end of the process and returns how it ended; nil means exit
// code 0.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Close kills all processes that still run.
func (s *Supervisor) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.HasEnded() {
			p.Kill()
		}
	}
}
