package spreader

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
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

// history is a table with faults, instances, operators and what is on its way between them. Time is
// virtual.
type history struct {
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

// newHistory returns the history of a seed, over a table whose rows are given.
func newHistory(seed, number uint64, rows map[string]tabler.Row) *history {
	h := &history{
		r:         rand.New(rand.NewPCG(seed, number)),
		now:       time.Unix(1_700_000_000, 0),
		rows:      maps.Clone(rows),
		followers: make([]*follower.Follower, members),
		changes:   make([]*change, operators),
		told:      map[string]classifier.Outcome{},
		found:     Findings{Histories: 1},
	}
	for i := range h.followers {
		h.followers[i] = follower.NewFollower(h.now)
	}
	return h
}

// run runs the history and returns what it found.
func (h *history) run() Findings {
	for range events {
		h.event()
	}
	h.finish()
	return h.found
}

// event lets one thing happen.
func (h *history) event() {
	h.now = h.now.Add(time.Duration(h.r.Int64N(int64(tick))))
	switch n := h.r.IntN(20); {
	case n < 9:
		h.operate(h.r.IntN(operators))
	case n < 11:
		h.poll(h.r.IntN(members))
	case n < 13:
		h.ask(h.r.IntN(members), h.r.IntN(members))
	case n < 17:
		h.deliver()
	case n < 18:
		h.land()
	case n < 19:
		h.down = h.r.IntN(3) == 0
	default:
		h.followers[h.r.IntN(members)] = follower.NewFollower(h.now)
	}
}

// operate begins or continues an operator's change.
func (h *history) operate(i int) {
	c := h.changes[i]
	if c == nil {
		h.made++
		at := h.r.IntN(members)
		ref := models[h.r.IntN(len(models))]
		command := accepter.Command{
			ID:       fmt.Sprint("m", h.made),
			Action:   accepter.ActionAccept,
			Operator: fmt.Sprint("o", i),
			Changes: []accepter.Change{{
				Kind:             ref.Kind,
				Name:             ref.Name,
				ExpectedRevision: h.seen(ref),
				Revision:         1 + h.r.Int64N(revisions),
			}},
		}
		m := accepter.NewMutation(command, h.followers[at].LatestSnapshot, nil)
		h.changes[i] = &change{mutation: m, step: m.Begin(h.now), at: at}
		return
	}
	if c.step.Txn != nil {
		result, err := h.commit(*c.step.Txn)
		c.step = c.mutation.HandleCommit(h.now, result, err)
	} else {
		c.step = c.mutation.HandleRead(h.now, h.read(c.step))
	}
	if c.step.Result != nil {
		h.changes[i] = nil
		h.end(c.at, *c.step.Result)
	}
}

// seen returns the revision of a record that an operator sees in force, at times an old one.
func (h *history) seen(ref recorder.Ref) int64 {
	entry, err := accepter.Decode[accepter.Entry](h.rows[accepter.EntryKey(ref)])
	if err != nil {
		panic(err)
	}
	if h.r.IntN(4) == 0 {
		return h.r.Int64N(revisions)
	}
	return entry.ActiveRevision
}

// end notes what an operator was told, and lets the instance share what it committed.
func (h *history) end(at int, r accepter.Result) {
	h.told[r.ID] = r.Outcome
	if r.Outcome == classifier.Unknown {
		h.found.Unsettled++
	}
	if r.Outcome != classifier.Completed || r.Delta == nil {
		return
	}
	h.take(at, message{deltas: []recorder.Delta{*r.Delta}})
}

// commit answers a transaction, with a fault half of the time.
func (h *history) commit(t tabler.Txn) (tabler.Result, error) {
	if h.down {
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	}
	switch h.r.IntN(10) {
	case 0:
		return tabler.Result{Outcome: classifier.Refused}, errAway
	case 1:
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	case 2, 3:
		h.late = append(h.late, t)
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	case 4:
		h.apply(t)
		return tabler.Result{Outcome: classifier.Unknown}, errAway
	default:
		return tabler.Result{Outcome: classifier.Completed, Applied: h.apply(t)}, nil
	}
}

// apply applies a transaction if its conditions hold.
func (h *history) apply(t tabler.Txn) bool {
	for _, c := range t.Conditions {
		if h.rows[c.Key].Version != c.Version {
			return false
		}
	}
	for _, n := range t.Writes {
		h.rows[n.Key] = tabler.Row{Table: n.Table, Key: n.Key, Value: n.Value, Version: h.rows[n.Key].Version + 1}
	}
	return true
}

// land lets one late write arrive.
func (h *history) land() {
	if len(h.late) == 0 {
		return
	}
	i := h.r.IntN(len(h.late))
	t := h.late[i]
	h.late = append(h.late[:i], h.late[i+1:]...)
	h.apply(t)
}

// read answers a step with keys.
func (h *history) read(step accepter.Step) accepter.ReadResult {
	if h.down {
		return accepter.ReadResult{Err: errAway}
	}
	r := accepter.ReadResult{Rows: map[string]tabler.Row{}, Deltas: h.log(step.AfterEpoch)}
	for _, key := range step.Keys {
		if row, found := h.rows[key]; found {
			r.Rows[key] = row
		}
	}
	return r
}

// log returns the deltas after an epoch.
func (h *history) log(after int64) []recorder.Delta {
	var deltas []recorder.Delta
	for epoch := after + 1; ; epoch++ {
		row, found := h.rows[accepter.LogKey(epoch)]
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
