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
	// changeBytes is the size of a configuration change in the exchange.
	changeBytes = 400
	// pushesPerChange is how many times an instance pushes a change, and receives it, outside the exchange.
	pushesPerChange = 3
	// headReadBytes is the size on the wire of a read of the configuration's head.
	headReadBytes = 700
	// pollInterval is the minimum time between reads of the head, equal to the default setting.
	pollInterval = time.Second
)

// measureRecords measures the cost of the configuration by records and by changes.
func measureRecords(r reporter.Result, p plan) (cost, error) {
	sizes := []float64{330, 660, 1000, 1320}
	var apply, change, memory []float64
	for _, n := range sizes {
		s, err := newSnapshot(int(n))
		if err != nil {
			return cost{}, err
		}
		c, err := measureFollower(s)
		if err != nil {
			return cost{}, err
		}
		apply, change, memory = append(apply, c.apply), append(change, c.change), append(memory, c.memory)
	}
	applyFit, changeFit, memoryFit := fitLine(sizes, apply), fitLine(sizes, change), fitLine(sizes, memory)
	recordCount := float64(p.teams + p.models + otherRecords)
	changesPerSecond := p.changesPerDay / secondsPerDay
	readsPerSecond := 1 / follower.PollInterval(pollInterval, p.instances).Seconds()
	r.Set("records_apply", applyFit.Slope, "core-seconds a whole snapshot for each record")
	r.Set("records_change", changeFit.Slope, "core-seconds a change for each record")
	r.Set("records_change_error", changeFit.Error, "core-seconds a change for each record")
	r.Set("records_memory", memoryFit.Slope, "bytes for each record")
	r.Set("head_reads", readsPerSecond*float64(p.instances), "reads a second of the fleet")
	r.Set("records", recordCount, "records at the planned size")
	return cost{
		core:   changeFit.costAt(recordCount) * changesPerSecond,
		bytes:  readsPerSecond*headReadBytes + 2*pushesPerChange*changesPerSecond*(changeBytes+messageOverheadBytes),
		memory: memoryFit.costAt(recordCount),
	}, nil
}

// otherRecords is the number of records at the planned size that are neither teams nor models.
const otherRecords = 16

// followCost is the cost of following the configuration: core-seconds for a whole snapshot and for a change, and bytes of
// memory.
type followCost struct {
	apply  float64
	change float64
	memory float64
}

// newSnapshot returns a configuration with a number of teams.
func newSnapshot(count int) (recorder.Snapshot, error) {
	s := recorder.Snapshot{Epoch: 1}
	for i := range count {
		record, err := newTeamRecord(i, 1)
		if err != nil {
			return s, err
		}
		s.Records = append(s.Records, record)
	}
	return s, nil
}

// newTeamRecord returns the record of a team at a revision.
func newTeamRecord(i int, revision int64) (recorder.Record, error) {
	r, err := recorder.NewRecord(recorder.KindTeam, fmt.Sprintf("team-%04d", i), recorder.Team{
		CredentialHash: fmt.Sprintf("%064d", i), QueueWeight: 1 + i%7, RequestsPerSecond: 100, TokensPerSecond: 40_000,
	})
	r.Revision, r.State = revision, recorder.StateAccepted
	return r, err
}

// changesPerMeasurement is the number of changes of one measurement.
const changesPerMeasurement = 60

// measureFollower measures a follower that applies a snapshot and then changes of it.
func measureFollower(s recorder.Snapshot) (followCost, error) {
	now := time.UnixMilli(1_700_000_000_000)
	var f *follower.Follower
	var out followCost
	out.memory = heapGrowth(func() any {
		f = follower.NewFollower(now)
		out.apply = processorSeconds(func() { f.ApplySnapshot(now, decodedCopy(s)) })
		return f
	})
	deltas, err := newDeltas(s)
	if err != nil {
		return out, err
	}
	out.change = processorSeconds(func() {
		for _, d := range deltas {
			f.ApplyDelta(now, d)
		}
	}) / changesPerMeasurement
	runtime.KeepAlive(f)
	if f.ActiveEpoch != s.Epoch+changesPerMeasurement {
		return out, fmt.Errorf("epoch %d in force after %d changes", f.ActiveEpoch, changesPerMeasurement)
	}
	return out, nil
}

// decodedCopy returns a snapshot as decoded from its encoding, like an instance receives it.
func decodedCopy(s recorder.Snapshot) recorder.Snapshot {
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

// newDeltas returns successive changes of a configuration, each of one team.
func newDeltas(s recorder.Snapshot) ([]recorder.Delta, error) {
	var out []recorder.Delta
	for i := range changesPerMeasurement {
		record, err := newTeamRecord(i, int64(2+i))
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
