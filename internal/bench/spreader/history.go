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

// errUnreachable is the error of calls to a store or peer that cannot be reached.
var errUnreachable = errors.New("store or peer unreachable")

// The size of a history.
const (
	followerCount     = 4
	operatorCount     = 3
	eventCount        = 150
	revisionsPerModel = 4
	maxEventGap       = 500 * time.Millisecond
)

// Findings counts the events and the violations that a set of histories found.
type Findings struct {
	Histories int
	// Epochs counts the epochs that were accepted, and Applied how often an instance brought one into force.
	Epochs  int64
	Applied int
	// Reversions counts how often an instance replaced the epoch in force by a lower one.
	Reversions int
	// Divergent counts how often an instance had other records in force than those accepted at the epoch.
	Divergent int
	// Misreported counts the changes whose outcome, as reported to the operator, contradicts the table at the end.
	Misreported int
	// Unsettled counts the changes whose outcome was reported to the operator as unknown.
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

// message is a message in transit to an instance.
type message struct {
	to int
	// from is the peer whose state the message carries, or empty.
	from string
	// fromStore reports whether the message answers a read of the head.
	fromStore bool
	head      int64
	deltas    []recorder.Delta
	snapshot  recorder.Snapshot
	peerState follower.Peer
}

// change is an operator's mutation in progress on an instance.
type change struct {
	mutation *accepter.Mutation
	step     accepter.Step
	at       int
}

// history simulates a table with faults, instances, operators and the messages in transit between them, in virtual
// time.
type history struct {
	r                *rand.Rand
	now              time.Time
	rows             map[string]tabler.Row
	lateWrites       []tabler.Txn
	storeDown        bool
	followers        []*follower.Follower
	messages         []message
	changes          []*change
	reportedOutcomes map[string]classifier.Outcome
	changeCount      int
	findings         Findings
}

// newHistory returns the history of a seed and number over a table with given rows.
func newHistory(seed, number uint64, rows map[string]tabler.Row) *history {
	h := &history{
		r:                rand.New(rand.NewPCG(seed, number)),
		now:              time.Unix(1_700_000_000, 0),
		rows:             maps.Clone(rows),
		followers:        make([]*follower.Follower, followerCount),
		changes:          make([]*change, operatorCount),
		reportedOutcomes: map[string]classifier.Outcome{},
		findings:         Findings{Histories: 1},
	}
	for i := range h.followers {
		h.followers[i] = follower.NewFollower(h.now)
	}
	return h
}

// run runs the history and returns its findings.
func (h *history) run() Findings {
	for range eventCount {
		h.runEvent()
	}
	h.finish()
	return h.findings
}

// runEvent advances the time and runs one random event.
func (h *history) runEvent() {
	h.now = h.now.Add(time.Duration(h.r.Int64N(int64(maxEventGap))))
	switch n := h.r.IntN(20); {
	case n < 9:
		h.stepOperator(h.r.IntN(operatorCount))
	case n < 11:
		h.pollStore(h.r.IntN(followerCount))
	case n < 13:
		h.readPeer(h.r.IntN(followerCount), h.r.IntN(followerCount))
	case n < 17:
		h.deliverMessage()
	case n < 18:
		h.applyLateWrite()
	case n < 19:
		h.storeDown = h.r.IntN(3) == 0
	default:
		h.followers[h.r.IntN(followerCount)] = follower.NewFollower(h.now)
	}
}

// stepOperator begins or continues an operator's change.
func (h *history) stepOperator(i int) {
	c := h.changes[i]
	if c == nil {
		h.changeCount++
		at := h.r.IntN(followerCount)
		ref := models[h.r.IntN(len(models))]
		command := accepter.Command{
			ID:       fmt.Sprint("m", h.changeCount),
			Action:   accepter.ActionAccept,
			Operator: fmt.Sprint("o", i),
			Changes: []accepter.Change{{
				Kind:             ref.Kind,
				Name:             ref.Name,
				ExpectedRevision: h.expectedRevision(ref),
				Revision:         1 + h.r.Int64N(revisionsPerModel),
			}},
		}
		m := accepter.NewMutation(command, h.followers[at].LatestSnapshot, nil)
		h.changes[i] = &change{mutation: m, step: m.Begin(h.now), at: at}
		return
	}
	if c.step.Txn != nil {
		result, err := h.commitWithFaults(*c.step.Txn)
		c.step = c.mutation.HandleCommit(h.now, result, err)
	} else {
		c.step = c.mutation.HandleRead(h.now, h.read(c.step))
	}
	if c.step.Result != nil {
		h.changes[i] = nil
		h.handleResult(c.at, *c.step.Result)
	}
}

// expectedRevision returns the revision of a record that an operator expects in force, which at times is an arbitrary
// one.
func (h *history) expectedRevision(ref recorder.Ref) int64 {
	entry, err := accepter.Decode[accepter.Entry](h.rows[accepter.EntryKey(ref)])
	if err != nil {
		panic(err)
	}
	if h.r.IntN(4) == 0 {
		return h.r.Int64N(revisionsPerModel)
	}
	return entry.ActiveRevision
}

// handleResult records the outcome reported to an operator, and applies a committed delta on the instance that
// committed it.
func (h *history) handleResult(at int, r accepter.Result) {
	h.reportedOutcomes[r.ID] = r.Outcome
	if r.Outcome == classifier.Unknown {
		h.findings.Unsettled++
	}
	if r.Outcome != classifier.Completed || r.Delta == nil {
		return
	}
	h.handleMessage(at, message{deltas: []recorder.Delta{*r.Delta}})
}

// commitWithFaults answers a transaction, half of the time with a fault.
func (h *history) commitWithFaults(t tabler.Txn) (tabler.Result, error) {
	if h.storeDown {
		return tabler.Result{Outcome: classifier.Unknown}, errUnreachable
	}
	switch h.r.IntN(10) {
	case 0:
		return tabler.Result{Outcome: classifier.Refused}, errUnreachable
	case 1:
		return tabler.Result{Outcome: classifier.Unknown}, errUnreachable
	case 2, 3:
		h.lateWrites = append(h.lateWrites, t)
		return tabler.Result{Outcome: classifier.Unknown}, errUnreachable
	case 4:
		h.apply(t)
		return tabler.Result{Outcome: classifier.Unknown}, errUnreachable
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
	for _, w := range t.Writes {
		h.rows[w.Key] = tabler.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: h.rows[w.Key].Version + 1}
	}
	return true
}

// applyLateWrite applies one of the delayed transactions.
func (h *history) applyLateWrite() {
	if len(h.lateWrites) == 0 {
		return
	}
	i := h.r.IntN(len(h.lateWrites))
	t := h.lateWrites[i]
	h.lateWrites = append(h.lateWrites[:i], h.lateWrites[i+1:]...)
	h.apply(t)
}

// read returns the rows and deltas that a step reads.
func (h *history) read(step accepter.Step) accepter.ReadResult {
	if h.storeDown {
		return accepter.ReadResult{Err: errUnreachable}
	}
	r := accepter.ReadResult{Rows: map[string]tabler.Row{}, Deltas: h.deltasAfter(step.AfterEpoch)}
	for _, key := range step.Keys {
		if row, found := h.rows[key]; found {
			r.Rows[key] = row
		}
	}
	return r
}

// deltasAfter returns the deltas after an epoch.
func (h *history) deltasAfter(after int64) []recorder.Delta {
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
