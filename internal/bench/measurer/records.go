package measurer

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

const (
	// changeBytes is the size of a change of the configuration as it is passed on, in bytes.
	changeBytes = 400
	// pushes is how often an instance passes a change on, and receives it, besides the exchange.
	pushes = 3
	// headBytes is the size of a read of the configuration's head on the wire, in bytes.
	headBytes = 700
	// pollTime is the least time between reads of the head, as the settings' default.
	pollTime = time.Second
)

// records measures the configuration by records and by changes.
func records(r reporter.Result, p plan) (cost, error) {
	sizes := []float64{330, 660, 1000, 1320}
	var apply, change, memory []float64
	for _, n := range sizes {
		s, err := snapshot(int(n))
		if err != nil {
			return cost{}, err
		}
		c, err := follow(s)
		if err != nil {
			return cost{}, err
		}
		apply, change, memory = append(apply, c.apply), append(change, c.change), append(memory, c.memory)
	}
	whole, step, held := fit(sizes, apply), fit(sizes, change), fit(sizes, memory)
	size := float64(p.teams + p.models + recordsBesides)
	rate := p.changes / daySeconds
	reads := 1 / follower.PollInterval(pollTime, p.instances).Seconds()
	r.Set("records_apply", whole.Slope, "core-seconds a whole snapshot for each record")
	r.Set("records_change", step.Slope, "core-seconds a change for each record")
	r.Set("records_change_error", step.Error, "core-seconds a change for each record")
	r.Set("records_memory", held.Slope, "bytes for each record")
	r.Set("head_reads", reads*float64(p.instances), "reads a second of the fleet")
	r.Set("records", size, "records at the planned size")
	return cost{
		core:   step.at(size) * rate,
		bytes:  reads*headBytes + 2*pushes*rate*(changeBytes+messageBytes),
		memory: held.at(size),
	}, nil
}

// recordsBesides is the number of records at the planned size that are neither teams nor models.
const recordsBesides = 16

// following is the cost of following the configuration: core-seconds for a whole snapshot and for a change, and memory.
type following struct {
	apply  float64
	change float64
	memory float64
}

// snapshot returns a configuration of teams.
func snapshot(count int) (recorder.Snapshot, error) {
	s := recorder.Snapshot{Epoch: 1}
	for i := range count {
		record, err := team(i, 1)
		if err != nil {
			return s, err
		}
		s.Records = append(s.Records, record)
	}
	return s, nil
}

// team returns a team's record at a revision.
func team(i int, revision int64) (recorder.Record, error) {
	r, err := recorder.NewRecord(recorder.KindTeam, fmt.Sprintf("team-%04d", i), recorder.Team{
		CredentialHash: fmt.Sprintf("%064d", i), QueueWeight: 1 + i%7, RequestsPerSecond: 100, TokensPerSecond: 40_000,
	})
	r.Revision, r.State = revision, recorder.StateAccepted
	return r, err
}

// changesEach is the number of changes of one measurement.
const changesEach = 60

// follow measures a follower of a configuration.
func follow(s recorder.Snapshot) (following, error) {
	now := time.UnixMilli(1_700_000_000_000)
	var f *follower.Follower
	var out following
	out.memory = grown(func() any {
		f = follower.NewFollower(now)
		out.apply = spent(func() { f.ApplySnapshot(now, clone(s)) })
		return f
	})
	deltas, err := changesOf(s)
	if err != nil {
		return out, err
	}
	out.change = spent(func() {
		for _, d := range deltas {
			f.ApplyDelta(now, d)
		}
	}) / changesEach
	runtime.KeepAlive(f)
	if f.ActiveEpoch != s.Epoch+changesEach {
		return out, fmt.Errorf("epoch %d in force after %d changes", f.ActiveEpoch, changesEach)
	}
	return out, nil
}

// clone returns a snapshot read from its encoding, as an instance gets it.
func clone(s recorder.Snapshot) recorder.Snapshot {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // A snapshot always has an encoding.
	}
	var out recorder.Snapshot
	if err := json.Unmarshal(b, &out); err != nil {
		panic(err) // What was encoded can be read.
	}
	return out
}

// changesOf returns changes of one team after another that follow a configuration.
func changesOf(s recorder.Snapshot) ([]recorder.Delta, error) {
	var out []recorder.Delta
	for i := range changesEach {
		record, err := team(i, int64(2+i))
		if err != nil {
			return nil, err
		}
		d := recorder.Delta{Epoch: s.Epoch + 1, Put: []recorder.Record{record}}
		d.Sum = s.With(d.Put, nil).Checksum()
		if s, err = s.Advance(d); err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}
