package runner

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/heatherrock/heatherrock/internal/bench/soaker"
)

// soak runs the fault soak with a series of seeds.
func soak(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(errs)
	program := flags.String("program", "", "program of an instance, as built from cmd/gateway")
	seed := flags.Uint64("seed", 0, "first seed; 0 takes the present time")
	count := flags.Int("count", 50, "number of seeds")
	length := flags.Duration("length", 20*time.Second, "length of a run")
	jobs := flags.Int("jobs", 2, "runs at a time")
	dir := flags.String("dir", "", "directory of settings and logs; a temporary one if empty")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return exitUsage
	}
	if *program == "" || *count < 1 || *jobs < 1 || flags.NArg() > 0 {
		fmt.Fprintln(errs, "bench soak: --program is needed, and at least one seed and one job")
		return exitUsage
	}
	if *seed == 0 {
		*seed = uint64(time.Now().Unix())
	}
	if *dir == "" {
		tempDir, err := os.MkdirTemp("", "soak")
		if err != nil {
			fmt.Fprintln(errs, "bench soak:", err)
			return exitFailed
		}
		*dir = tempDir
	}
	s := &soakSeries{out: out, seeds: make(chan uint64)}
	for range *jobs {
		s.wait.Add(1)
		go s.run(soaker.Options{Binary: *program, Dir: *dir, Length: *length})
	}
	for n := range *count {
		s.seeds <- *seed + uint64(n)
	}
	close(s.seeds)
	s.wait.Wait()
	fmt.Fprintf(out, "%d seeds from %d, %d with a broken promise; logs in %s\n", *count, *seed, s.failedSeeds, *dir)
	if s.failedSeeds > 0 {
		return exitFailed
	}
	return exitDone
}

// soakSeries is a series of soak runs with successive seeds.
type soakSeries struct {
	seeds chan uint64
	wait  sync.WaitGroup

	mu          sync.Mutex
	out         io.Writer
	failedSeeds int
}

// run runs seeds one after another until there are none left.
func (s *soakSeries) run(o soaker.Options) {
	defer s.wait.Done()
	root := o.Dir
	for seed := range s.seeds {
		o.Seed, o.Dir = seed, soaker.LogDir(root, seed)
		s.record(soaker.Run(o))
	}
}

// record prints the report of a run and counts it if it failed.
func (s *soakSeries) record(r soaker.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || len(r.Violations) > 0 {
		s.failedSeeds++
	}
	fmt.Fprint(s.out, r)
	if err != nil {
		fmt.Fprintf(s.out, "  not played: %v\n", err)
	}
}
