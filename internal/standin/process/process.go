// Package process runs a program and ends it by its identifier.
package process

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxOutput = 64 << 10 // Bytes of output that are kept.
	pollTime  = 5 * time.Millisecond
	stopTime  = 5 * time.Second // Time in which all threads must stop.
)

// Process is a running program. Make one with Start.
type Process struct {
	cmd    *exec.Cmd
	output output
	done   chan struct{}
}

// Error reports a program that did not do what was waited for.
type Error struct {
	Program string
	Waited  string
	Output  string // The end of what it printed.
}

// Error returns the program, what was waited for and the last output.
func (e *Error) Error() string {
	return fmt.Sprintf("process: %s: no %s; output: %s", e.Program, e.Waited, e.Output)
}

// Start runs a program with the environment of this one.
func Start(program string, args ...string) (*Process, error) {
	p := &Process{
		cmd:  exec.Command(program, args...), //nolint:gosec // The caller chooses the program.
		done: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	go func() {
		// Programs end by signals, so that the status says nothing.
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// ID returns the process identifier.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Output returns the end of what the program printed.
func (p *Process) Output() string { return p.output.String() }

// Await waits until the program has printed count lines with a prefix, and
// returns their rests. Otherwise it returns an *Error.
func (p *Process) Await(prefix string, count int, limit time.Duration) ([]string, error) {
	for end := time.Now().Add(limit); ; {
		var found []string
		for line := range strings.Lines(p.output.String()) {
			if rest, ok := strings.CutPrefix(line, prefix); ok && strings.HasSuffix(rest, "\n") {
				found = append(found, strings.TrimSuffix(rest, "\n"))
			}
		}
		if len(found) >= count {
			return found, nil
		}
		select {
		case <-p.done:
			return nil, &Error{p.cmd.Path, prefix + "before its end", p.Output()}
		case <-time.After(pollTime):
		}
		if time.Now().After(end) {
			return nil, &Error{p.cmd.Path, prefix + "in " + limit.String(), p.Output()}
		}
	}
}

// Freeze stops the process until Thaw. It returns once no thread of it runs.
func (p *Process) Freeze() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStopped()
}

// awaitStopped waits until no thread of the process runs: the signal returns
// before they have stopped.
func (p *Process) awaitStopped() error {
	tasks := fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid)
	for deadline := time.Now().Add(stopTime); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		files, err := filepath.Glob(tasks)
		if err != nil {
			return err
		}
		if len(files) > 0 && !slices.ContainsFunc(files, runs) {
			return nil
		}
	}
	return fmt.Errorf("process %d has not stopped within %s", p.cmd.Process.Pid, stopTime)
}

// runs tells from the status of a thread whether it is not stopped. The state
// follows the name, which ends with the last parenthesis.
func runs(file string) bool {
	text, err := os.ReadFile(file) //nolint:gosec // It is a file of a process that this one started.
	if err != nil {
		return true
	}
	i := bytes.LastIndexByte(text, ')')
	return i < 0 || i+2 >= len(text) || text[i+2] != 'T'
}

// Thaw lets a frozen process run on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to end.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(os.Interrupt) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	// An error means that it has ended already.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// output keeps the last bytes written to it.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write adds to the output.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data.Write(p)
	if over := o.data.Len() - maxOutput; over > 0 {
		o.data.Next(over)
	}
	return len(p), nil
}

// String returns what is kept.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}
