package prover

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

const (
	// silences is the number of answers whose connection goes silent.
	silences = 16
	// progress is the longest wait for a step that the instances are set to.
	progress = 300 * time.Millisecond
)

// runSilent lets the connections to first stages go silent under answers, while new connections work.
func runSilent(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("silent", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := open(ctx, 1, 2, 50*time.Microsecond, assembler.WithTimes(func(t *configurer.Times) { t.ProgressTimeout = progress }),
		assembler.WithFleet(quickPings))
	if err != nil {
		return result, err
	}
	defer s.Close()
	c := assembler.NewCaller(team)
	defer c.Close()
	random := random(seed)
	pauses := hdrhistogram.New(1, 60_000, 3)
	wrong, cut := 0, 0
	for range silences {
		prompt, err := write(random, 12, 60)
		if err != nil {
			return result, err
		}
		if err := silence(s, 3+random.IntN(30)); err != nil {
			return result, err
		}
		a := ask(ctx, c, s.Nodes[0], prompt, 60)
		<-a.done
		if a.wrong() {
			wrong++
		}
		if !a.whole() {
			cut++
		}
		if err := pauses.RecordValue(a.gap().Milliseconds()); err != nil {
			return result, err
		}
	}
	result.Set("progress", progress.Seconds(), "s")
	result.Set("pause", float64(pauses.ValueAtQuantile(50))/1000, "s")
	result.Set("pause_p95", float64(pauses.ValueAtQuantile(95))/1000, "s")
	result.SetTarget("wrong", float64(wrong), "answers", 0)
	result.SetTarget("cut", float64(cut), "answers", 0)
	result.SetTarget("ejected", float64(ejected(s)), "endpoints", 0)
	return result, nil
}

// quickPings lets engines show that a stream is alive well within the instances' longest wait.
func quickPings(f *starter.Fleet) {
	for name, k := range f.Kinds {
		k.PingInterval = starter.Duration(progress / 4)
		f.Kinds[name] = k
	}
}

// silence lets the next stream on each first stage go silent after some lines.
func silence(s *assembler.Fleet, after int) error {
	for _, e := range s.Standins.Fleet.Engines {
		if e.Held[0].From > 0 {
			continue
		}
		faults := s.Standins.StandIn(e.ID).Server.Faults
		faults.Clear()
		if err := faults.AddFaults(faulter.Fault{CallPrefix: "POST /engine/streams", Kind: faulter.Hang, MaxHits: 1, AfterLines: after}); err != nil {
			return err
		}
	}
	return nil
}

// ejected counts the endpoints that the instances have ejected.
func ejected(s *assembler.Fleet) int {
	n := 0
	for _, r := range s.Nodes {
		n += r.Router().State(time.Now()).Counts["eject"]
	}
	return n
}
