package spreader

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/platform/tabler"
)

// errAway is the error of a store that does not answer.
var errAway = errors.New("store is away")

// The size of a history.
const (
	members   = 4
	operators = 3
	events    = 150
	revisions = 4
	tick      = 500 * time.Millisecond
)

// Findings counts what a set of histories found.
type Findings struct {
	Histories int
	// Epochs counts the epochs raised and Applied the times that an instance brought one into force.
	Epochs  int64
	Applied int
	// Reversions counts the times that an instance brought a lower epoch into force than it had.
	Reversions int
	// Divergent counts the times that an instance had other records in force than those accepted at the epoch.
	Divergent int
	// Misreported counts the changes of which an operator was told otherwise than the table shows at the end.
	Misreported int
	// Unsettled counts the changes of which an operator was told that they are not yet known.
	Unsettled int
	// Behind counts the instances that were not at the highest epoch after the faults had ended.
	Behind int
}

// add adds the findings of another set.
func (f *Findings) add(o Findings) {
	f.Histories += o.Histories
	f.Epochs += o.Epochs
	f.Applied += o.Applied
	f.Reversions += o.Reversions
	f.Divergent += o.Divergent
	f.Misreported += o.Misreported
	f.Unsettled += o.Unsettled
	f.Behind += o.Behind
}

// message is something on its way to an instance.
type message struct {
	to int
	// from names the peer that vouches in the message, if one does.
	from string
	// polled is set if the message answers a read of the head.
	polled   bool
	head     int64
	deltas   []recorder.Delta
	snapshot recorder.Snapshot
	vouch    follower.Peer
}

// change is an operator's mutation under way on an instance.
type change struct {
	mutation *accepter.Mutation
	step     accepter.Step
	at       int
}

// world is one history: a table with faults, instances, operators and what is on its way between them. Time is
// virtual.
type world struct {
	r         *rand.Rand
	now       time.Time
	rows      map[string]tabler.Row
	late      []tabler.Txn
	down      bool
	followers []*follower.Follower
	messages  []message
	changes   []*change
	told      map[string]classifier.Outcome
	made      int
	found     Findings
}

// newWorld returns the history of a seed, over a table whose rows are given.
func newWorld(seed, number uint64, rows map[string]tabler.Row) *world {
	w := &world{
		r:         rand.New(rand.NewPCG(seed, number)),
		now:       time.Unix(1_700_000_000, 0),
		rows:      maps.Clone(rows),
		followers: make([]*follower.Follower, members),
		changes:   make([]*change, operators),
		told:      map[string]classifier.Outcome{},
		found:     Findings{Histories: 1},
	}
	for i := range w.followers {
		w.followers[i] = follower.NewFollower(w.now)
	}
	return w
}

// run runs the history and returns what it found.
func (w *world) run() Findings {
	for range events {
		w.event()
	}
	w.finish()
	return w.found
}

// event lets one thing happen.
func (w *world) event() {
	w.now = w.now.Add(time.Duration(w.r.Int64N(int64(tick))))
	switch n := w.r.IntN(20); {
	case n < 9:
		w.operate(w.r.IntN(operators))
	case n < 11:
		w.poll(w.r.IntN(members))
	case n < 13:
		w.ask(w.r.IntN(members), w.r.IntN(members))
	case n < 17:
		w.deliver()
	case n < 18:
		w.land()
	case n < 19:
		w.down = w.r.IntN(3) == 0
	default:
		w.followers[w.r.IntN(members)] = follower.NewFollower(w.now)
	}
}

// operate begins or continues an operator's change.
func (w *world) operate(i int) {
	c := w.changes[i]
	if c == nil {
		w.made++
		at := w.r.IntN(members)
		ref := models[w.r.IntN(len(models))]
		command := accepter.Command{
			ID:       fmt.Sprint("m", w.made),
			Action:   accepter.ActionAccept,
			Operator: fmt.Sprint("o", i),
			Changes: []accepter.Change{{
				Kind:     ref.Kind,
				Name:     ref.Name,
				Seen:     w.seen(ref),
				Revision: 1 + w.r.Int64N(revisions),
			}},
		}
		m := accepter.NewMutation(command, w.followers[at].Known, nil)
		w.changes[i] = &change{mutation: m, step: m.Begin(w.now), at: at}
		return
	}
	if c.step.Txn != nil {
		result, err := w.commit(*c.step.Txn)
		c.step = c.mutation.TakeCommit(w.now, result, err)
	} else {
		c.step = c.mutation.TakeRead(w.now, w.read(c.step))
	}
	if c.step.Result != nil {
		w.changes[i] = nil
		w.end(c.at, *c.step.Result)
	}
}

// seen returns the revision of a record that an operator sees in force, at times an old one.
func (w *world) seen(ref recorder.Ref) int64 {
	entry, err := accepter.Decode[accepter.Entry](w.rows[accepter.EntryKey(ref)])
	if err != nil {
		panic(err)
	}
	if w.r.IntN(4) == 0 {
		return w.r.Int64N(revisions)
	}
	return entry.Force
}

// end notes what an operator was told, and lets the instance share what it committed.
func (w *world) end(at int, r accepter.Result) {
	w.told[r.ID] = r.Outcome
	if r.Outcome == classifier.Unknown {
		w.found.Unsettled++
	}
	if r.Outcome != classifier.Completed || r.Delta == nil {
		return
	}
	w.take(at, message{deltas: []recorder.Delta{*r.Delta}})
}

// commit answers a transaction, with a fault half of the time.
func (w *world) commit(t tabler.Txn) (tabler.Result, error) {
	if w.down {
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	}
	switch w.r.IntN(10) {
	case 0:
		return tabler.Result{Outcome: classifier.Refused}, errAway
	case 1:
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	case 2, 3:
		w.late = append(w.late, t)
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	case 4:
		w.apply(t)
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	default:
		return tabler.Result{Outcome: classifier.Completed, Applied: w.apply(t)}, nil
	}
}

// apply applies a transaction if its conditions hold.
func (w *world) apply(t tabler.Txn) bool {
	for _, c := range t.Conditions {
		if w.rows[c.Key].Version != c.Version {
			return false
		}
	}
	for _, n := range t.Writes {
		w.rows[n.Key] = tabler.Row{Table: n.Table, Key: n.Key, Value: n.Value, Version: w.rows[n.Key].Version + 1}
	}
	return true
}

// land lets one late write arrive.
func (w *world) land() {
	if len(w.late) == 0 {
		return
	}
	i := w.r.IntN(len(w.late))
	t := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	w.apply(t)
}

// read answers a step with keys.
func (w *world) read(step accepter.Step) accepter.Read {
	if w.down {
		return accepter.Read{Err: errAway}
	}
	r := accepter.Read{Rows: map[string]tabler.Row{}, Deltas: w.log(step.After)}
	for _, key := range step.Keys {
		if row, found := w.rows[key]; found {
			r.Rows[key] = row
		}
	}
	return r
}

// log returns the deltas after an epoch.
func (w *world) log(after int64) []recorder.Delta {
	var deltas []recorder.Delta
	for epoch := after + 1; ; epoch++ {
		row, found := w.rows[accepter.LogKey(epoch)]
		if !found {
			return deltas
		}
		var d recorder.Delta
		if err := json.Unmarshal(row.Value, &d); err != nil {
			panic(err)
		}
		deltas = append(deltas, d)
	}
}
