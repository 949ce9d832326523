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
	// silentAnswers is the number of answers whose connection goes silent.
	silentAnswers = 16
	// progressTimeout is the instances' timeout for the next step of a stream.
	progressTimeout = 300 * time.Millisecond
)

// runSilent makes the connections to first stages go silent during answers, while new connections work.
func runSilent(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("silent", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startFleet(ctx, 1, 2, 50*time.Microsecond, assembler.WithTimes(func(t *configurer.Times) { t.ProgressTimeout = progressTimeout }),
		assembler.WithStandins(setPingInterval))
	if err != nil {
		return result, err
	}
	defer s.Close()
	c := assembler.NewCaller(team)
	defer c.Close()
	random := newRand(seed)
	pauses := hdrhistogram.New(1, 60_000, 3)
	wrong, cutOff := 0, 0
	for range silentAnswers {
		prompt, err := newPrompt(random, 12, 60)
		if err != nil {
			return result, err
		}
		if err := silenceNextStreams(s, 3+random.IntN(30)); err != nil {
			return result, err
		}
		a := sendRequest(ctx, c, s.Nodes[0], prompt, 60)
		<-a.done
		if a.isWrong() {
			wrong++
		}
		if !a.isComplete() {
			cutOff++
		}
		if err := pauses.RecordValue(a.longestGap().Milliseconds()); err != nil {
			return result, err
		}
	}
	result.Set("progress", progressTimeout.Seconds(), "s")
	result.Set("pause", float64(pauses.ValueAtQuantile(50))/1000, "s")
	result.Set("pause_p95", float64(pauses.ValueAtQuantile(95))/1000, "s")
	result.SetTarget("wrong", float64(wrong), "answers", 0)
	result.SetTarget("cut", float64(cutOff), "answers", 0)
	result.SetTarget("ejected", float64(ejectedCount(s)), "endpoints", 0)
	return result, nil
}

// setPingInterval makes engines send pings well within the instances' progress timeout.
func setPingInterval(f *starter.Fleet) {
	for name, k := range f.Kinds {
		k.PingInterval = starter.Duration(progressTimeout / 4)
		f.Kinds[name] = k
	}
}

// silenceNextStreams makes the next stream on each first stage go silent after some lines.
func silenceNextStreams(s *assembler.Fleet, afterLines int) error {
	for _, e := range s.Standins.Fleet.Engines {
		if e.Held[0].From > 0 {
			continue
		}
		faults := s.Standins.StandIn(e.ID).Server.Faults
		faults.Clear()
		if err := faults.AddFaults(faulter.Fault{CallPrefix: "POST /engine/streams", Kind: faulter.Hang, MaxHits: 1, AfterLines: afterLines}); err != nil {
			return err
		}
	}
	return nil
}

// ejectedCount returns the number of endpoints that the instances have ejected.
func ejectedCount(s *assembler.Fleet) int {
	n := 0
	for _, r := range s.Nodes {
		n += r.Router().State(time.Now()).Counts["eject"]
	}
	return n
}
