//go:build review

// Package lab holds the stand-ins of the review's scripts: the platform's store, servers, clients, and the processes of the
// system as they are started on a machine. They follow the operators' pages and use the real clock and loopback addresses.
package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// The bounds of the small deployments, which the settings hold and the checks use.
const (
	ConfigBound     = 2 * time.Second
	DrainBound      = 2 * time.Second
	StabilityWindow = 3 * time.Second
	Grace           = 8 * time.Second
	Heartbeat       = 1200 * time.Millisecond
	MemoryMB        = 284
)

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the record of a case in its folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, started: time.Now()}, nil
}

// Line writes a line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Lab is a deployment in a temporary folder, on loopback addresses of its own.
type Lab struct {
	Record *Record
	Store  *Store
	Dir    string
	// Program is the system's program as the deploy file builds it.
	Program string

	prefix string
	claim  net.Listener
	mu     sync.Mutex
	closes []func()
	// engines holds the servers of the model by address.
	engines        map[string]*Engine
	crashes        []Crash
	arrivals       []Arrival
	deadlyRequests deadlyRequests
}

// The ports on each address of a deployment.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	storePort   = 8223
	serverPort  = 8080
	claimPort   = 7999
)

// New claims a loopback network and a temporary folder, and starts the store.
func New(r *Record, root string) (*Lab, error) {
	l := &Lab{Record: r, Program: filepath.Join(root, "target", "gateway"), engines: map[string]*Engine{}}
	if _, err := os.Stat(l.Program); err != nil {
		return nil, err
	}
	var err error
	for n := range 200 {
		l.prefix = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200+n)%250)
		if l.claim, err = net.Listen("tcp", fmt.Sprintf("%s.250:%d", l.prefix, claimPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if l.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	l.Store = newStore(l)
	return l, l.Serve(fmt.Sprintf("%s.240:%d", l.prefix, storePort), l.Store)
}

// Serve serves a stand-in at an address until the deployment is closed.
func (l *Lab) Serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(listener) }() // It ends as the deployment is closed.
	l.OnClose(func() { _ = s.Close() })
	return nil
}

// OnClose registers what is to be done as the deployment ends.
func (l *Lab) OnClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closes = append(l.closes, f)
}

// Close ends all processes and stand-ins.
func (l *Lab) Close() {
	l.mu.Lock()
	closes := l.closes
	l.closes = nil
	l.mu.Unlock()
	for i := len(closes) - 1; i >= 0; i-- {
		closes[i]()
	}
	_ = l.claim.Close()
	_ = os.RemoveAll(l.Dir)
}

// StoreAddress returns the address of the store.
func (l *Lab) StoreAddress() string { return fmt.Sprintf("%s.240:%d", l.prefix, storePort) }

// ServerAddress returns the address of the nth server.
func (l *Lab) ServerAddress(n int) string {
	return fmt.Sprintf("%s.%d:%d", l.prefix, 100+n, serverPort)
}

// Zones are the zones of the deployment.
var Zones = []string{"central-a", "central-b", "central-c"}

// Machine is a machine of the system with one process.
type Machine struct {
	Name string
	Zone string
	IP   string

	lab  *Lab
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// Ended describes each process that ended by itself.
	ended []string
	// stopping is true once a signal that ends the process was sent.
	stopping bool
}

// AddMachine adds the nth machine, in a zone. It does not start its process.
func (l *Lab) AddMachine(n int, zone string) *Machine {
	m := &Machine{Name: fmt.Sprintf("edge-%d", n), Zone: zone, IP: fmt.Sprintf("%s.%d", l.prefix, 1+n), lab: l}
	l.OnClose(m.Kill)
	return m
}

// Front returns the address for clients.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, frontPort) }

// settings returns the settings file of the machine, which is JSON and so YAML too.
func (m *Machine) settings() ([]byte, error) {
	zones := map[string]string{}
	for _, z := range Zones {
		zones[z] = "central"
	}
	return json.Marshal(map[string]any{
		"node_name": m.Name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge"}, "ip": m.IP, "zone": m.Zone,
		"region": "central", "zones": zones,
		"listen": map[string]string{
			"front": m.Front(), "ready": fmt.Sprintf("%s:%d", m.IP, readyPort), "control": fmt.Sprintf("%s:%d", m.IP, controlPort),
		},
		"internal_ports": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "in_tolerance": false,
		"limits": map[string]any{
			"cpu_share": 0.4, "cores": 1, "memory_mb": MemoryMB, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": Heartbeat.Milliseconds(),
		"contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers",
		},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": StabilityWindow.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4,
			"drain_ms": DrainBound.Milliseconds(), "grace_s": int(Grace.Seconds()), "loss_slack_ms": 200,
			"config_ms": ConfigBound.Milliseconds(), "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": false,
			"revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 198, "recover_s": 12, "pass_ms": 120,
			"retry_after_s": 0, "stall_ms": 2500, "fencing_enforced": true,
		},
		"platform": map[string]any{
			"address": m.lab.StoreAddress(), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0,
			"partition_writes_s": 300, "row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0,
			"blob_mb_s": 80.0,
		},
	})
}

// Start starts the machine's process as the deploy file says.
func (m *Machine) Start() error {
	settings, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.lab.Dir, m.Name+".yaml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.lab.Dir, m.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(m.lab.Program, "-metrics", "9464")
	c.Env = []string{"HEATHERROCK_NODE_FILE=" + path}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.done, m.stopping = c, make(chan struct{}), false
	go m.await(c, m.done)
	return nil
}

// await waits for the end of a process.
func (m *Machine) await(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopping {
		text := fmt.Sprintf("%s ended by itself: %v", m.Name, err)
		m.ended = append(m.ended, text)
		m.lab.Record.Line("%s; its last lines:\n%s", text, m.lastLines())
	}
	close(done)
}

// lastLines returns the lines of the machine's log that tell of a crash.
func (m *Machine) lastLines() string {
	b, err := os.ReadFile(filepath.Join(m.lab.Dir, m.Name+".log"))
	if err != nil {
		return err.Error()
	}
	text := string(b)
	if i := strings.Index(text, "fatal error:"); i >= 0 {
		text = text[i:]
	} else if i := strings.Index(text, "panic:"); i >= 0 {
		text = text[i:]
	} else if len(text) > 2000 {
		text = text[len(text)-2000:]
	}
	if len(text) > 2000 {
		text = text[:2000]
	}
	return text
}

// EndedByItself returns a description of each process of the machine that ended by itself.
func (m *Machine) EndedByItself() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.ended...)
}

// PID returns the id of the running process.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// EnforceMemory kills the process, as the platform does, whenever its own memory exceeds the machine's, and starts it again after a
// short delay, until the deployment is closed. It returns a function that tells the greatest memory seen so far, in MiB.
func (m *Machine) EnforceMemory() func() int {
	stop, stopped := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	most := 0
	m.lab.OnClose(func() { close(stop); <-stopped })
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			used := anonymousMiB(m.PID())
			mu.Lock()
			most = max(most, used)
			mu.Unlock()
			if used <= MemoryMB {
				continue
			}
			m.lab.Record.Line("%s has %d MiB of %d: the platform kills it", m.Name, used, MemoryMB)
			m.mu.Lock()
			_ = m.cmd.Process.Kill()
			m.mu.Unlock()
			<-m.Done()
			time.Sleep(restartDelay)
			if err := m.Start(); err != nil {
				m.lab.Record.Line("%s not started again: %v", m.Name, err)
				return
			}
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return most
	}
}

const (
	// memoryInterval is the time between two looks at a process's memory, and restartDelay that before it starts again.
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// anonymousMiB returns the memory that a process has for itself, without the pages of its program's file. Bytes that wait in its
// sockets, which count too, are left out.
func anonymousMiB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0])
			return n >> 10
		}
	}
	return 0
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.stopping = true
	}
	_ = m.cmd.Process.Signal(s) // It may have ended.
}

// Done returns a channel that is closed at the end of the process.
func (m *Machine) Done() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done
}

// Kill ends the process and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGCONT)
	m.Signal(syscall.SIGKILL)
	if done := m.Done(); done != nil {
		<-done
	}
}

// Ready asks whether the machine is ready, as the platform does.
func (m *Machine) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", m.IP, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// WaitReady waits until all machines are ready.
func WaitReady(limit time.Duration, machines ...*Machine) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range machines {
			if m.Ready() {
				n++
			}
		}
		if n == len(machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d machines are ready after %v", n, len(machines), limit)
		}
	}
}
