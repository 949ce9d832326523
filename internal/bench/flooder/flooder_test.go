package flooder

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// The bounds of each process, whatever is sent. The memory in its settings is the smallest machine's, with few descriptors, and 100 MiB
// are the target for it.
const (
	memoryMB         = 136
	maxDescriptors   = 420
	maxPeakMemoryMB  = 100
	maxOpen          = 400
	headBytes        = 65_000
	legalHeadBytes   = 15_900
	startLimit       = 20 * time.Second
	ordinaryDeadline = 4 * time.Second
)

// requestStart begins the head of a request that has a credential and an id.
const requestStart = "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\nX-Heatherrock-Attempt-Id: crowd\r\nAuthorization: Token key1\r\n" +
	"X-Heatherrock-Deadline-Ms: 4000\r\nContent-Length: 0\r\n"

// shortLines returns header lines of at most size bytes in all, with no two names alike.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; ; n++ {
		line := fmt.Sprintf("h%x:\r\n", n)
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// build builds a program and returns its path.
func build(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	c := exec.Command("go", "build", "-o", path, "github.com/heatherrock/heatherrock/cmd/"+name)
	c.Env = append(os.Environ(), "GOFLAGS=-buildvcs=false")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("building %s: %v\n%s", name, err, out)
	}
	return path
}

// keep starts a program, which ends with the test.
func keep(t *testing.T, environment []string, program string, arguments ...string) *Process {
	t.Helper()
	logName := filepath.Join(t.TempDir(), "log")
	p, err := Start(logName, environment, program, arguments...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		if log, err := os.ReadFile(logName); t.Failed() && err == nil {
			t.Logf("the end of its log:\n%s", log[max(0, len(log)-2000):])
		}
	})
	return p
}

// gatewayFleet is one gateway process with stand-ins of its store and endpoints.
type gatewayFleet struct {
	process *Process
	machine hoster.Machine
}

// startGateway starts a gateway whose configuration allows heads of maxHeaderBytes, and waits until it serves.
func startGateway(t *testing.T, program string, maxHeaderBytes int) gatewayFleet {
	t.Helper()
	addresses, err := hoster.ClaimNet()
	if err != nil {
		t.Fatal(err)
	}
	platform := hoster.NewPlatform()
	t.Cleanup(func() {
		platform.Close()
		_ = addresses.Close() // Closing an open listener does not fail.
	})
	config := hoster.Config(1, "key1")
	config["limits"].(map[string]any)["max_header_bytes"] = maxHeaderBytes
	platform.Store.Put("op", "config", config)
	platform.AddServer("desk-0", "desk", "a", "")
	for n := range 2 {
		platform.AddServer(fmt.Sprint("pool-", n), "pool", "a", "card")
	}
	f := gatewayFleet{machine: hoster.Machine{Name: "edge", Zone: "a", IP: addresses.IP(0), StoreAddress: platform.Store.Address()}}
	content, err := f.machine.Settings()
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(content, &settings); err != nil {
		t.Fatal(err)
	}
	settings["limits"] = map[string]any{"memory_mb": memoryMB, "max_fds": maxDescriptors}
	if content, err = json.Marshal(settings); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	f.process = keep(t, hoster.Environment(path), program)
	if !WaitUntil(startLimit, func() bool { return f.ask() == nil }) {
		t.Fatalf("not served before the crowd: %v", f.ask())
	}
	return f
}

// ask sends one ordinary request, and returns an error unless it is answered with 200.
func (f gatewayFleet) ask() error {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.machine.CallersAddress()+"/look/ordinary", strings.NewReader("body"))
	if err != nil {
		return err
	}
	hoster.SetCallerHeaders(r, fmt.Sprint("ordinary", time.Now().UnixNano()), "key1", ordinaryDeadline)
	return expectOK(r)
}

// expectOK sends a request on a connection of its own, and returns an error unless it is answered with 200.
func expectOK(r *http.Request) error {
	r.Close = true
	response, err := (&http.Client{Timeout: ordinaryDeadline}).Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %w", response.StatusCode, err)
	}
	return nil
}

// check runs a crowd against a process, and checks what holds whatever is sent. The ordinary request is asked up to ten times: one
// that comes while the crowd's connections are being closed may be refused.
func check(t *testing.T, p *Process, c Crowd, ask func() error) {
	t.Helper()
	open := 0
	c.Run(func() { open, _ = p.Descriptors() }) // IsAlive reports a process that has ended.
	if !p.IsAlive() {
		t.Fatal("the process ended")
	}
	if open > maxOpen {
		t.Errorf("%d descriptors open, at most %d expected", open, maxOpen)
	}
	peak, err := p.PeakMemoryMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MiB, %d descriptors", peak, open)
	if peak > maxPeakMemoryMB {
		t.Errorf("peak memory %d MiB, at most %d expected", peak, maxPeakMemoryMB)
	}
	for n := 0; ; n++ {
		err := ask()
		if err == nil {
			return
		}
		if n == 10 {
			t.Fatalf("no ordinary request is answered: %v", err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// TestGatewayWithstands guards against clients that make a gateway run out of memory or descriptors, or keep it from answering
// others: by heads whose parsed form is many times their size, by parts of a message without end, and by connections alone.
func TestGatewayWithstands(t *testing.T) {
	program := build(t, "gateway")
	lines, same := shortLines(headBytes), strings.Repeat("a:b\r\n", headBytes/5)
	chunked := strings.Replace(requestStart, "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "\r\n"
	long := strings.Replace(requestStart, "Content-Length: 0", "Content-Length: 100000", 1) + "\r\n"
	cases := []struct {
		name           string
		maxHeaderBytes int
		crowd          Crowd
	}{
		{"different short lines over the limit", 16384, Crowd{Connections: 300, First: requestStart + lines}},
		{"one name over the limit", 16384, Crowd{Connections: 300, First: requestStart + same}},
		{"different short lines within the limit", 66_000, Crowd{Connections: 300, First: requestStart + lines, Last: "\r\n"}},
		{"one name within the limit", 66_000, Crowd{Connections: 300, First: requestStart + same, Last: "\r\n"}},
		{"heads within a lower limit, one after another", 16384, Crowd{
			Connections: 300, First: requestStart, Repeated: shortLines(legalHeadBytes) + "\r\n" + requestStart, Times: 20,
		}},
		{"empty values, tabs and no space", 16384, Crowd{
			Connections: 300, First: requestStart, Repeated: strings.Repeat("a:\t\r\nb:\r\nc:d\r\n", 900) + "\r\n" + requestStart, Times: 20,
		}},
		{"header lines without end", 16384, Crowd{Connections: 300, First: requestStart, Repeated: "h:\r\n", Times: 30_000}},
		{"one line without end", 16384, Crowd{Connections: 300, First: requestStart + "h:", Repeated: strings.Repeat("x", 1000), Times: 300}},
		{"a path without end", 16384, Crowd{Connections: 300, First: "GET /", Repeated: strings.Repeat("x", 1000), Times: 300}},
		{"empty lines without end", 16384, Crowd{Connections: 300, Repeated: strings.Repeat("\r\n", 500), Times: 300}},
		{"many requests in one write", 16384, Crowd{Connections: 300, First: strings.Repeat(requestStart+"\r\n", 200)}},
		{"silent connections", 16384, Crowd{Connections: 600}},
		{"bodies without their end", 16384, Crowd{Connections: 300, First: long + strings.Repeat("x", 99_000)}},
		{"chunks of one byte", 16384, Crowd{Connections: 300, First: chunked, Repeated: strings.Repeat("1\r\nx\r\n", 500), Times: 150}},
		{"chunk extensions without end", 16384, Crowd{Connections: 300, First: chunked + "1;", Repeated: strings.Repeat("e", 1000), Times: 300}},
		{"trailers without end", 16384, Crowd{Connections: 300, First: chunked + "0\r\n", Repeated: shortLines(4000), Times: 100}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startGateway(t, program, c.maxHeaderBytes)
			c.crowd.Address = f.machine.CallersAddress()
			check(t, f.process, c.crowd, f.ask)
		})
	}
}

// TestInternalListenersWithstand guards against connections to the ports for peers, metrics and readiness that make a gateway run out
// of memory: a message between peers that states a length of gigabytes, and heads as on the callers' port.
func TestInternalListenersWithstand(t *testing.T) {
	program := build(t, "gateway")
	// A message of net/rpc begins with its length: a byte with the complement of the number of bytes of the length, and these.
	huge := "\xfc\x3f\xff\xff\xff"
	lines := shortLines(headBytes)
	cases := []struct {
		name    string
		address func(hoster.Machine) string
		crowd   Crowd
	}{
		{"peers", func(m hoster.Machine) string { return net.JoinHostPort(m.IP, "7340") }, Crowd{
			Connections: 8, First: huge, Repeated: strings.Repeat("x", 100_000), Times: 300,
		}},
		{"metrics", func(m hoster.Machine) string { return net.JoinHostPort(m.IP, "7341") }, Crowd{
			Connections: 300, First: "GET /metrics HTTP/1.1\r\nHost: x\r\n" + lines,
		}},
		{"ready", hoster.Machine.ReadyAddress, Crowd{Connections: 300, First: "GET /readyz HTTP/1.1\r\nHost: x\r\n" + lines}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startGateway(t, program, 16384)
			c.crowd.Address = c.address(f.machine)
			check(t, f.process, c.crowd, f.ask)
		})
	}
}

// TestServeWithstands guards against the same at the other entry point.
func TestServeWithstands(t *testing.T) {
	program := build(t, "heatherrock")
	callers, operators := freeAddress(t), freeAddress(t)
	p := keep(t, nil, program, "serve", "-id", "entry-1", "-datacentre", "a", "-region", "r", "-callers.address", callers, "-operators.address", operators,
		"-peers.address", freeAddress(t), "-tables", "http://127.0.0.1:1", "-objects", "http://127.0.0.1:1", "-limits.header", "66000")
	ask := func() error {
		// Without a configuration no caller is served, so the operators' check is the ordinary request.
		r, err := http.NewRequest(http.MethodGet, "http://"+operators+"/healthz", nil)
		if err != nil {
			return err
		}
		return expectOK(r)
	}
	if !WaitUntil(startLimit, func() bool { return ask() == nil }) {
		t.Fatalf("not served before the crowd: %v", ask())
	}
	head := "GET /v1/models HTTP/1.1\r\nHost: x\r\n" + shortLines(headBytes)
	for _, c := range []Crowd{
		{Address: callers, Connections: 300, First: head, Last: "\r\n"}, {Address: operators, Connections: 300, First: head, Last: "\r\n"},
	} {
		check(t, p, c, ask)
	}
}

// freeAddress returns a loopback address that is free now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
