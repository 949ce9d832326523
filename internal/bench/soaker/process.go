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

// instance is a machine with an instance as a process of its own.
type instance struct {
	binary  string
	dir     string
	machine hoster.Machine
	link    *Proxy
	// callers is the link from the callers.
	callers *Proxy

	mu      sync.Mutex
	command *exec.Cmd
	// told is set once the running process was told to end.
	told bool
	// ended is closed when the running process has ended.
	ended chan struct{}
	// exits holds what went wrong with the ends of processes.
	exits []string
}

// start starts the process, if none runs.
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
	i.command, i.told, i.ended = c, false, make(chan struct{})
	go i.run(c, i.ended)
	return nil
}

// run waits for the end of a process, and notes one that was not asked for.
func (i *instance) run(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	var exit *exec.ExitError
	switch {
	case !i.told && err == nil:
		i.exits = append(i.exits, i.machine.Name+" ended by itself")
	case !i.told || errors.As(err, &exit) && exit.ExitCode() > 0:
		i.exits = append(i.exits, i.machine.Name+" ended: "+err.Error())
	}
	i.command = nil
	close(ended)
}

// signal sends a signal to the process, if one runs, and returns what is closed at that process's end. A signal that ends it
// is to be expected from then on.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.told = true
	}
	// The process may have ended meanwhile: its end is noted by run.
	_ = i.command.Process.Signal(s)
	return i.ended
}

// endsWithin reports whether a process ends in time.
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

// ready reports whether the instance says that it takes requests.
func (i *instance) ready() bool {
	response, err := http.Get("http://" + i.machine.ReadyAddress() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the process and the links.
func (i *instance) close() {
	i.signal(syscall.SIGCONT)
	<-i.signal(syscall.SIGKILL)
	i.link.Close()
	i.callers.Close()
}
