package soaker

import (
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// instance is a machine that runs an instance as a separate process.
type instance struct {
	binary    string
	dir       string
	machine   hoster.Machine
	storeLink *Proxy
	// callerLink is the link from the callers.
	callerLink *Proxy

	mu      sync.Mutex
	command *exec.Cmd
	// stopRequested reports whether the running process was signalled to end.
	stopRequested bool
	// ended is closed when the running process has ended.
	ended chan struct{}
	// failures describes the processes that ended unexpectedly or with an error.
	failures []string
}

// start starts the process unless it runs already.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	settings, err := i.machine.Settings()
	if err != nil {
		return err
	}
	path := filepath.Join(i.dir, i.machine.Name+".yaml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(i.dir, i.machine.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(i.binary, "-metrics", "9464")
	c.Env = hoster.Environment(path)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return merry.Prepend(err, "starting an instance")
	}
	i.command, i.stopRequested, i.ended = c, false, make(chan struct{})
	go i.awaitExit(c, i.ended)
	return nil
}

// awaitExit waits for a process to end and records a failure if it ended by itself or with an error.
func (i *instance) awaitExit(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	var exit *exec.ExitError
	switch {
	case !i.stopRequested && err == nil:
		i.failures = append(i.failures, i.machine.Name+" ended by itself")
	case !i.stopRequested || errors.As(err, &exit) && exit.ExitCode() > 0:
		i.failures = append(i.failures, i.machine.Name+" ended: "+err.Error())
	}
	i.command = nil
	close(ended)
}

// signal sends a signal to the process, if one runs, and returns a channel that is closed when that process ends. After
// SIGKILL or SIGTERM the end of the process is expected.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.stopRequested = true
	}
	// The process may have ended meanwhile, which awaitExit records.
	_ = i.command.Process.Signal(s)
	return i.ended
}

// endsWithin reports whether a process ends within a time limit.
func endsWithin(ended <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-t.C:
		return false
	}
}

// ready reports whether the instance reports itself as ready.
func (i *instance) ready() bool {
	response, err := http.Get("http://" + i.machine.ReadyAddress() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the process, also a paused one, and closes its links.
func (i *instance) close() {
	i.signal(syscall.SIGCONT)
	<-i.signal(syscall.SIGKILL)
	i.storeLink.Close()
	i.callerLink.Close()
}
