package spreader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The configuration of the planned size, and the changes made to it.
const (
	plannedTeams  = 1300
	plannedModels = 4
	layoutChanges = 300
	// One in revertOneIn changes reverts to an earlier body.
	revertOneIn = 10
	// idBytes is the size of a body's id in the list of a version, as in the content-addressed layout.
	idBytes       = 8
	secondsPerDay = 86_400
)

// layouts names the storage layouts that are compared.
var layouts = []string{"log", "head", "rows", "objects", "addressed"}

// cost is the cost of changes under a layout, in bytes.
type cost struct {
	// writtenBytes is what is written to the store, and readBytes what one instance reads.
	writtenBytes float64
	readBytes    float64
}

// runLayout measures the cost of changes under each layout, on a configuration of the planned size.
func runLayout(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("layout", seed)
	l := &layoutMeter{r: rand.New(rand.NewPCG(seed, seed)), history: &history{rows: map[string]tabler.Row{}},
		follower: follower.NewFollower(time.Time{}), storedBodies: map[uint64]bool{}, costs: map[string]*cost{}}
	for _, name := range layouts {
		l.costs[name] = &cost{}
	}
	if err := l.fill(); err != nil {
		return result, err
	}
	l.resetCosts()
	for range layoutChanges {
		if err := l.changeTeam(); err != nil {
			return result, err
		}
	}
	for _, name := range layouts {
		c := l.costs[name]
		result.Set(name+"_write", c.writtenBytes/layoutChanges, "bytes a change")
		result.Set(name+"_read", c.readBytes/layoutChanges, "bytes a change")
		rate := c.readBytes / layoutChanges * changesPerDay / secondsPerDay
		result.SetTarget(name+"_rate", rate, "bytes a second", bytesPerSecondTarget)
	}
	result.Set("kept", l.keptBytes/layoutChanges*changesPerDay, "bytes a day")
	result.Set("records", float64(len(l.follower.LatestSnapshot.Records)), "records")
	result.Set("apply", l.applyTime.Seconds()/layoutChanges, "s a change")
	result.SetTarget("core", l.applyTime.Seconds()/layoutChanges*changesPerDay/secondsPerDay, "share of a core", coreShareTarget)
	return result, nil
}

// layoutMeter changes a configuration and measures what its storage costs.
type layoutMeter struct {
	r            *rand.Rand
	history      *history
	follower     *follower.Follower
	storedBodies map[uint64]bool
	costs        map[string]*cost
	commandCount int
	applyTime    time.Duration
	writtenBytes float64
	// keptBytes counts the bytes of rows that are never removed.
	keptBytes float64
}

// resetCosts discards the cost of filling the configuration.
func (l *layoutMeter) resetCosts() {
	l.applyTime, l.writtenBytes, l.keptBytes = 0, 0, 0
	for _, c := range l.costs {
		*c = cost{}
	}
}

// fill brings a configuration of the planned size into force.
func (l *layoutMeter) fill() error {
	var records []recorder.Record
	for i := range plannedModels {
		r, err := newModelRecord(0)
		if err != nil {
			return err
		}
		r.Name = fmt.Sprint("model-", i)
		records = append(records, r)
	}
	for i := range plannedTeams {
		r, err := l.newTeam(i)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	for _, r := range records {
		l.storedBodies[xxhash.Sum64(r.Body)] = true
	}
	for len(records) > 0 {
		n := min(accepter.MaxRecords, len(records))
		if err := l.acceptRecords(records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// newTeam returns a record of a team with a random queue weight.
func (l *layoutMeter) newTeam(i int) (recorder.Record, error) {
	const maxWeight = 100
	return recorder.NewRecord(recorder.KindTeam, fmt.Sprint("team-", i), recorder.Team{
		CredentialHash: fmt.Sprintf("%064x", i+1), QueueWeight: 1 + l.r.IntN(maxWeight), RequestsPerSecond: 100, TokensPerSecond: 20_000})
}

// changeTeam changes one team, or reverts it to an earlier body, and adds the cost under each layout.
func (l *layoutMeter) changeTeam() error {
	i := l.r.IntN(plannedTeams)
	r, err := l.newTeam(i)
	if err != nil {
		return err
	}
	current, _ := l.follower.LatestSnapshot.Find(r.Ref())
	if l.r.IntN(revertOneIn) == 0 {
		r.Body = current.Body
	}
	l.writtenBytes = 0
	if err := l.acceptRecords([]recorder.Record{r}); err != nil {
		return err
	}
	return l.addCosts(r.Ref())
}

// acceptRecords submits and accepts records and applies the delta to the follower.
func (l *layoutMeter) acceptRecords(records []recorder.Record) error {
	submitted, err := l.runCommand(accepter.Command{Action: accepter.ActionSubmit, Records: records})
	if err != nil {
		return err
	}
	accepted, err := l.runCommand(accepter.Command{Action: accepter.ActionAccept, Changes: submitted.Changes})
	if err != nil {
		return err
	}
	start := time.Now()
	d := l.follower.ApplyDelta(time.Time{}, *accepted.Delta)
	l.applyTime += time.Since(start)
	return d.Err
}

// runCommand runs a command against the in-memory table and counts the bytes that it writes.
func (l *layoutMeter) runCommand(c accepter.Command) (accepter.Result, error) {
	l.commandCount++
	c.ID, c.Operator = fmt.Sprintf("%036d", l.commandCount), "bench"
	m := accepter.NewMutation(c, l.follower.LatestSnapshot, nil)
	step := m.Begin(time.Now())
	for step.Result == nil {
		if step.Txn == nil {
			step = m.HandleRead(time.Now(), l.history.read(step))
			continue
		}
		for _, w := range step.Txn.Writes {
			size := float64(len(w.Key) + len(w.Value))
			l.writtenBytes += size
			if strings.HasPrefix(w.Key, accepter.BodyPrefix) || strings.HasPrefix(w.Key, accepter.AuditPrefix) {
				l.keptBytes += size
			}
		}
		applied := l.history.apply(*step.Txn)
		step = m.HandleCommit(time.Now(), tabler.Result{Outcome: classifier.Completed, Applied: applied}, nil)
	}
	if step.Result.Outcome != classifier.Completed {
		return *step.Result, fmt.Errorf("%s: %+v", c.Action, *step.Result)
	}
	return *step.Result, nil
}

// addCosts adds the cost of the last change under each layout. Each layout keeps the audit rows, so they do not affect
// the comparison.
func (l *layoutMeter) addCosts(ref recorder.Ref) error {
	s := l.follower.LatestSnapshot
	encoded, err := json.Marshal(s)
	if err != nil {
		return err
	}
	size := float64(len(encoded))
	delta := float64(len(l.history.rows[accepter.LogKey(s.Epoch)].Value))
	head := float64(len(l.history.rows[accepter.HeadKey].Value))
	entries := 0.0
	for _, r := range s.Records {
		entries += float64(len(accepter.EntryKey(r.Ref())) + len(l.history.rows[accepter.EntryKey(r.Ref())].Value))
	}
	changed, _ := s.Find(ref)
	body := float64(len(changed.Body))
	bodyHash := xxhash.Sum64(changed.Body)
	idList := float64(idBytes * len(s.Records))
	l.addCost("log", l.writtenBytes, head+delta)
	l.addCost("head", l.writtenBytes-delta-head+size, size)
	l.addCost("rows", l.writtenBytes-delta, head+entries+body)
	l.addCost("objects", l.writtenBytes-delta+size, head+size)
	newBody := body
	if l.storedBodies[bodyHash] {
		newBody = 0
	}
	l.storedBodies[bodyHash] = true
	l.addCost("addressed", l.writtenBytes-delta-body+newBody+idList, head+idList+newBody)
	return nil
}

// addCost adds to the cost of a layout.
func (l *layoutMeter) addCost(name string, write, read float64) {
	l.costs[name].writtenBytes += write
	l.costs[name].readBytes += read
}
