package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// runLength is the usual length of a run in tests.
const runLength = 12 * time.Second

// buildGateway builds the instances' program and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway")
	c := exec.Command("go", "build", "-o", path, "github.com/heatherrock/heatherrock/cmd/gateway")
	c.Env = append(os.Environ(), "GOFLAGS=-buildvcs=false")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("building the gateway: %v\n%s", err, out)
	}
	return path
}

// seeds are the seeds of the runs: two arbitrary ones, and each seed that has ever failed, with the cause.
var seeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1, runLength, ""},
	{2, runLength, ""},
	{1002, 20 * time.Second, "the soak waited for the process that another fault had started meanwhile, and killed it"},
	{7146, 25 * time.Second, "the stand-in ended a stalled stream as complete when it crashed"},
	{9101, 25 * time.Second, "a call crashed one endpoint of a plain service after the other"},
	{9003, 25 * time.Second, "instances compared versions of the store across its restoration, and went on accepting a key that was dropped"},
}

// TestSoak runs a few seeds against the real programs.
func TestSoak(t *testing.T) {
	t.Parallel()
	program := buildGateway(t)
	for _, c := range seeds {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(Options{Binary: program, Dir: t.TempDir(), Seed: c.seed, Length: c.length})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if len(report.Violations) > 0 {
				t.Errorf("%d promises broken", len(report.Violations))
			}
		})
	}
}
