// Package flooder starts the real programs as separate processes, exposes them to crowds of clients that break limits or use them
// up, and measures what the processes hold.
package flooder

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Process is a running program.
type Process struct {
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// Start starts a program. Its output goes to the file logName. Two threads run Go code at a time, whatever the machine has.
func Start(logName string, environment []string, program string, arguments ...string) (*Process, error) {
	out, err := os.Create(logName)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := exec.Command(program, arguments...)
	c.Env = append([]string{"GOMAXPROCS=2"}, environment...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return nil, merry.Prepend(err, "starting a program")
	}
	p := &Process{command: c, ended: make(chan struct{})}
	go p.run()
	return p, nil
}

// run waits for the end of the process.
func (p *Process) run() {
	_ = p.command.Wait() // IsAlive reports the end, whatever its cause.
	close(p.ended)
}

// IsAlive reports whether the process has not ended.
func (p *Process) IsAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Close ends the process.
func (p *Process) Close() {
	_ = p.command.Process.Signal(syscall.SIGKILL) // The process may have ended.
	<-p.ended
}

// PeakMemoryMB returns the peak resident memory of the process, in MiB.
func (p *Process) PeakMemoryMB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes >> 10, err
		}
	}
	return 0, merry.New("the process has no VmHWM")
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(list), err
}

// WaitUntil polls a condition, and reports whether it held within the limit.
func WaitUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
