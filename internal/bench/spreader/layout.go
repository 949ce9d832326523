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
	// backShare is one in how many changes goes back to an earlier body.
	backShare = 10
	// idBytes is the size of one body's id in the list of a version, as in the content-addressed layout.
	idBytes = 8
	daySecs = 86_400
)

// layouts names the layouts that are compared.
var layouts = []string{"log", "head", "rows", "objects", "addressed"}

// cost is what one change costs under a layout, in bytes.
type cost struct {
	// write is what is written to the store, and read what one instance reads.
	write float64
	read  float64
}

// runLayout measures what changes cost under each layout, on a configuration of the planned size.
func runLayout(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("layout", seed)
	l := &library{r: rand.New(rand.NewPCG(seed, seed)), history: &history{rows: map[string]tabler.Row{}},
		follower: follower.NewFollower(time.Time{}), bodies: map[uint64]bool{}, costs: map[string]*cost{}}
	for _, name := range layouts {
		l.costs[name] = &cost{}
	}
	if err := l.fill(); err != nil {
		return result, err
	}
	l.reset()
	for range layoutChanges {
		if err := l.change(); err != nil {
			return result, err
		}
	}
	for _, name := range layouts {
		c := l.costs[name]
		result.Set(name+"_write", c.write/layoutChanges, "bytes a change")
		result.Set(name+"_read", c.read/layoutChanges, "bytes a change")
		rate := c.read / layoutChanges * changesADay / daySecs
		result.SetTarget(name+"_rate", rate, "bytes a second", targetBytes)
	}
	result.Set("kept", l.kept/layoutChanges*changesADay, "bytes a day")
	result.Set("records", float64(len(l.follower.LatestSnapshot.Records)), "records")
	result.Set("apply", l.applied.Seconds()/layoutChanges, "s a change")
	result.SetTarget("core", l.applied.Seconds()/layoutChanges*changesADay/daySecs, "share of a core", targetCore)
	return result, nil
}

// library is a configuration that is changed and whose storage is weighed.
type library struct {
	r        *rand.Rand
	history  *history
	follower *follower.Follower
	bodies   map[uint64]bool
	costs    map[string]*cost
	made     int
	applied  time.Duration
	written  float64
	// kept counts the bytes of rows that are never removed.
	kept float64
}

// reset forgets what filling the configuration cost.
func (l *library) reset() {
	l.applied, l.written, l.kept = 0, 0, 0
	for _, c := range l.costs {
		*c = cost{}
	}
}

// fill brings a configuration of the planned size into force.
func (l *library) fill() error {
	var records []recorder.Record
	for i := range plannedModels {
		r, err := record(0)
		if err != nil {
			return err
		}
		r.Name = fmt.Sprint("model-", i)
		records = append(records, r)
	}
	for i := range plannedTeams {
		r, err := l.team(i)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	for _, r := range records {
		l.bodies[xxhash.Sum64(r.Body)] = true
	}
	for len(records) > 0 {
		n := min(accepter.MaxRecords, len(records))
		if err := l.put(records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// team returns a record of a team with a random share.
func (l *library) team(i int) (recorder.Record, error) {
	const most = 100
	return recorder.NewRecord(recorder.KindTeam, fmt.Sprint("team-", i), recorder.Team{
		CredentialHash: fmt.Sprintf("%064x", i+1), QueueWeight: 1 + l.r.IntN(most), RequestsPerSecond: 100, TokensPerSecond: 20_000})
}

// change changes one team, or goes back to an earlier body of it, and weighs each layout.
func (l *library) change() error {
	i := l.r.IntN(plannedTeams)
	r, err := l.team(i)
	if err != nil {
		return err
	}
	in, _ := l.follower.LatestSnapshot.Find(r.Ref())
	if l.r.IntN(backShare) == 0 {
		r.Body = in.Body
	}
	l.written = 0
	if err := l.put([]recorder.Record{r}); err != nil {
		return err
	}
	return l.weigh(r.Ref())
}

// put submits and accepts records and lets the follower take the delta in.
func (l *library) put(records []recorder.Record) error {
	submitted, err := l.do(accepter.Command{Action: accepter.ActionSubmit, Records: records})
	if err != nil {
		return err
	}
	accepted, err := l.do(accepter.Command{Action: accepter.ActionAccept, Changes: submitted.Changes})
	if err != nil {
		return err
	}
	start := time.Now()
	d := l.follower.ApplyDelta(time.Time{}, *accepted.Delta)
	l.applied += time.Since(start)
	return d.Err
}

// do carries a command out against the table in memory and counts what it writes.
func (l *library) do(c accepter.Command) (accepter.Result, error) {
	l.made++
	c.ID, c.Operator = fmt.Sprintf("%036d", l.made), "bench"
	m := accepter.NewMutation(c, l.follower.LatestSnapshot, nil)
	step := m.Begin(time.Now())
	for step.Result == nil {
		if step.Txn == nil {
			step = m.HandleRead(time.Now(), l.history.read(step))
			continue
		}
		for _, w := range step.Txn.Writes {
			size := float64(len(w.Key) + len(w.Value))
			l.written += size
			if strings.HasPrefix(w.Key, accepter.BodyPrefix) || strings.HasPrefix(w.Key, accepter.AuditPrefix) {
				l.kept += size
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

// weigh adds what the last change costs under each layout. Each keeps the audit, so what is compared is the rest.
func (l *library) weigh(ref recorder.Ref) error {
	s := l.follower.LatestSnapshot
	whole, err := json.Marshal(s)
	if err != nil {
		return err
	}
	size := float64(len(whole))
	delta := float64(len(l.history.rows[accepter.LogKey(s.Epoch)].Value))
	head := float64(len(l.history.rows[accepter.HeadKey].Value))
	entries := 0.0
	for _, r := range s.Records {
		entries += float64(len(accepter.EntryKey(r.Ref())) + len(l.history.rows[accepter.EntryKey(r.Ref())].Value))
	}
	changed, _ := s.Find(ref)
	body := float64(len(changed.Body))
	sum := xxhash.Sum64(changed.Body)
	list := float64(idBytes * len(s.Records))
	l.add("log", l.written, head+delta)
	l.add("head", l.written-delta-head+size, size)
	l.add("rows", l.written-delta, head+entries+body)
	l.add("objects", l.written-delta+size, head+size)
	fresh := body
	if l.bodies[sum] {
		fresh = 0
	}
	l.bodies[sum] = true
	l.add("addressed", l.written-delta-body+fresh+list, head+list+fresh)
	return nil
}

// add adds to the cost of a layout.
func (l *library) add(name string, write, read float64) {
	l.costs[name].write += write
	l.costs[name].read += read
}
