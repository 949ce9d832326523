//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

const (
	// program is that of the deploy file.
	program = "target/gateway"
	// startTimeout bounds the time until all instances are ready.
	startTimeout = 25 * time.Second
	// answerTime is how long a plain server works on a request.
	answerTime = 30 * time.Millisecond
	// drainTime is the small deployments' drain_ms.
	drainTime = 2 * time.Second
)

// programArguments are those of the deploy file.
var programArguments = []string{"-metrics", "9464"}

// smallBounds are the bounds of the small deployments that differ from the stand-in's.
var smallBounds = map[string]any{"drain_ms": drainTime.Milliseconds(), "config_ms": 2000, "budget_slack": 198}

// machine is a machine with a process of the system.
type machine struct {
	hoster.Machine
	command *exec.Cmd
}

// fleet is a running deployment.
type fleet struct {
	directory string
	addresses *hoster.Net
	platform  *hoster.Platform
	machines  []*machine
	desks     []*hoster.Server
}

// startFleet starts a platform with model servers, plain servers and instances, and waits until the instances are ready. The function
// publicAddress returns the address that a server registers, and is nil if it is its own.
func startFleet(instances, engines, desks int, publicAddress func(id, address string) string) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	addresses, err := hoster.ClaimNet()
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(directory))
	}
	f := &fleet{directory: directory, addresses: addresses, platform: hoster.NewPlatform()}
	f.platform.EventInterval, f.platform.AnswerTime, f.platform.PublicAddress = 20*time.Millisecond, answerTime, publicAddress
	f.platform.Store.Put("op", "config", hoster.Config(1, "key1"))
	for n := range engines {
		f.platform.AddServer(fmt.Sprintf("i-pool-%d", n), "pool", zone(n), "card")
	}
	for n := range desks {
		f.desks = append(f.desks, f.platform.AddServer(fmt.Sprintf("i-desk-%d", n), "desk", zone(n), ""))
	}
	for n := range instances {
		m := &machine{Machine: hoster.Machine{Name: fmt.Sprintf("edge-%s-%d", zone(n), n), Zone: zone(n), IP: addresses.IP(n), StoreAddress: f.platform.Store.Address()}}
		if err := f.start(m); err != nil {
			f.close()
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	if err := f.awaitReady(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// zone returns the zone of the nth machine or server.
func zone(n int) string { return string(rune('a' + n%3)) }

// settings returns the content of the settings file of a machine.
func settings(m hoster.Machine) ([]byte, error) {
	b, err := m.Settings()
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, err
	}
	bounds, ok := fields["bounds"].(map[string]any)
	if !ok {
		return nil, errors.New("settings without bounds")
	}
	for name, value := range smallBounds {
		bounds[name] = value
	}
	return json.Marshal(fields)
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	content, err := settings(m.Machine)
	if err != nil {
		return err
	}
	path := filepath.Join(f.directory, m.Name+".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.directory, m.Name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(program, programArguments...)
	m.command.Env = hoster.Environment(path)
	m.command.Stdout, m.command.Stderr = log, log
	return m.command.Start()
}

// awaitReady waits until all instances say that they are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		for !isReady(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether an instance says that it is ready.
func isReady(m *machine) bool {
	response, err := http.Get("http://" + m.ReadyAddress() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Nothing of it is read.
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins, and removes the files.
func (f *fleet) close() {
	for _, m := range f.machines {
		_ = m.command.Process.Kill() // It fails if the process has ended.
		_ = m.command.Wait()         // The process was killed.
	}
	f.platform.Close()
	_ = f.addresses.Close()
	_ = os.RemoveAll(f.directory)
}
