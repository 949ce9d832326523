package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// length is the length of a run in tests.
const length = 12 * time.Second

// binary builds the instances' program.
func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway")
	c := exec.Command("go", "build", "-o", path, "github.com/heatherrock/heatherrock/cmd/gateway")
	c.Env = append(os.Environ(), "GOFLAGS=-buildvcs=false")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("building the gateway: %v\n%s", err, out)
	}
	return path
}

// seeds are those that are played: two for all, and each one that has ever failed, with the cause.
var seeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1, length, ""},
	{2, length, ""},
	{1002, 20 * time.Second, "the soak waited for the process that another fault had started meanwhile, and killed it"},
}

// TestSoak plays a few seeds on the real programs.
func TestSoak(t *testing.T) {
	t.Parallel()
	program := binary(t)
	for _, c := range seeds {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(Options{Binary: program, Dir: t.TempDir(), Seed: c.seed, Length: c.length})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if len(report.Broken) > 0 {
				t.Errorf("%d promises broken", len(report.Broken))
			}
		})
	}
}
