package spreader

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// model is the record that the measured fleet changes, and models are those that the random histories change.
var (
	model  = recorder.Ref{Kind: recorder.KindModel, Name: "chat"}
	models = []recorder.Ref{model, {Kind: recorder.KindModel, Name: "draft"}}
)

// workers is the number of histories that run concurrently.
const workers = 4

// ExploreHistories runs a number of random histories of a seed and returns the sum of their findings.
func ExploreHistories(seed uint64, histories int) (Findings, error) {
	rows, err := submittedRows()
	if err != nil {
		return Findings{}, err
	}
	findings := make([]Findings, workers)
	var wait sync.WaitGroup
	for k := range workers {
		wait.Go(func() {
			for n := k; n < histories; n += workers {
				findings[k].add(newHistory(seed, uint64(n), rows).run())
			}
		})
	}
	wait.Wait()
	var all Findings
	for _, f := range findings {
		all.add(f)
	}
	return all, nil
}

// submittedRows returns the rows of a table to which some revisions of each model were submitted.
func submittedRows() (map[string]tabler.Row, error) {
	h := &history{rows: map[string]tabler.Row{}}
	for i := range revisionsPerModel {
		for _, ref := range models {
			if err := h.submit(ref, i); err != nil {
				return nil, err
			}
		}
	}
	return h.rows, nil
}

// submit submits a revision of a model.
func (h *history) submit(ref recorder.Ref, share int) error {
	body := recorder.Model{Layers: 8, MaxAnswerTokens: 100, FirstTokenMillis: 1900, TokenIntervalMillis: 43,
		Versions: []recorder.Version{{Name: "a", SharePercent: 100 - share}, {Name: "b", SharePercent: share}}}
	record, err := recorder.NewRecord(ref.Kind, ref.Name, body)
	if err != nil {
		return err
	}
	command := accepter.Command{ID: fmt.Sprint("s-", ref, share), Action: accepter.ActionSubmit, Operator: "o",
		Records: []recorder.Record{record}}
	m := accepter.NewMutation(command, recorder.Snapshot{}, nil)
	step := m.Begin(time.Time{})
	for step.Result == nil {
		if step.Txn == nil {
			step = m.HandleRead(time.Time{}, h.read(step))
			continue
		}
		applied := tabler.Result{Outcome: classifier.Completed, Applied: h.apply(*step.Txn)}
		step = m.HandleCommit(time.Time{}, applied, nil)
	}
	if step.Result.Outcome != classifier.Completed {
		return fmt.Errorf("submit: %+v", *step.Result)
	}
	return nil
}

// pollStore reads the head and the log for an instance. The answer is in transit afterwards and may be overtaken.
func (h *history) pollStore(i int) {
	if h.storeDown {
		return
	}
	head, err := accepter.Decode[accepter.Head](h.rows[accepter.HeadKey])
	if err != nil {
		panic(err)
	}
	h.messages = append(h.messages, message{to: i, fromStore: true, head: head.Epoch, deltas: h.deltasAfter(h.followers[i].LatestSnapshot.Epoch)})
}

// readPeer queries a peer for an instance. The answer is in transit afterwards.
func (h *history) readPeer(i, peer int) {
	f := h.followers[peer]
	h.messages = append(h.messages, message{
		to:        i,
		from:      fmt.Sprint("i", peer),
		snapshot:  f.LatestSnapshot,
		peerState: follower.Peer{Epoch: f.ActiveEpoch, ConfirmsEpoch: f.ConfirmsEpoch()},
	})
}

// deliverMessage picks a random message in transit and delivers it, drops it, or delivers it and keeps it for a
// repeated delivery.
func (h *history) deliverMessage() {
	if len(h.messages) == 0 {
		return
	}
	i := h.r.IntN(len(h.messages))
	m := h.messages[i]
	choice := h.r.IntN(5)
	if choice != 0 {
		h.messages = append(h.messages[:i], h.messages[i+1:]...)
	}
	if choice != 1 {
		h.handleMessage(m.to, m)
	}
}

// handleMessage applies the parts of a message to an instance, one by one, and checks each step.
func (h *history) handleMessage(i int, m message) {
	f := h.followers[i]
	if m.fromStore {
		h.runChecked(i, func() follower.Decision { return f.RecordHead(h.now, m.head) })
	}
	if m.from != "" {
		h.runChecked(i, func() follower.Decision {
			return f.RecordPeer(h.now, m.from, m.peerState.Epoch, m.peerState.ConfirmsEpoch)
		})
	}
	if m.snapshot.Epoch > 0 {
		h.runChecked(i, func() follower.Decision { return f.ApplySnapshot(h.now, m.snapshot) })
	}
	for _, d := range m.deltas {
		h.runChecked(i, func() follower.Decision { return f.ApplyDelta(h.now, d) })
	}
}

// runChecked runs one event of an instance, compares what it has in force before and after, and sends a newly applied
// delta to other instances.
func (h *history) runChecked(i int, event func() follower.Decision) {
	f := h.followers[i]
	before := f.ActiveEpoch
	d := event()
	if f.ActiveEpoch < before {
		h.findings.Reversions++
	}
	if !d.Applied {
		return
	}
	h.findings.Applied++
	accepted := h.deltaOf(f.ActiveEpoch)
	if accepted.Sum != f.LatestSnapshot.Checksum() {
		h.findings.Divergent++
	}
	for range 2 {
		h.messages = append(h.messages, message{to: h.r.IntN(followerCount), deltas: []recorder.Delta{accepted}})
	}
}

// deltaOf returns the delta of an epoch from the table.
func (h *history) deltaOf(epoch int64) recorder.Delta {
	d, err := accepter.Decode[recorder.Delta](h.rows[accepter.LogKey(epoch)])
	if err != nil {
		panic(err)
	}
	return d
}

// finish ends the faults, applies late writes, delivers all messages, and compares what instances have in force and the
// outcomes reported to operators with the table.
func (h *history) finish() {
	for len(h.lateWrites) > 0 {
		h.applyLateWrite()
	}
	h.storeDown = false
	for i := range h.followers {
		h.pollStore(i)
		h.handleMessage(i, h.messages[len(h.messages)-1])
	}
	for len(h.messages) > 0 {
		m := h.messages[0]
		h.messages = h.messages[1:]
		h.handleMessage(m.to, m)
	}
	head, err := accepter.Decode[accepter.Head](h.rows[accepter.HeadKey])
	if err != nil {
		panic(err)
	}
	h.findings.Epochs = head.Epoch
	for _, f := range h.followers {
		if f.ActiveEpoch != head.Epoch {
			h.findings.Behind++
		}
	}
	for id, outcome := range h.reportedOutcomes {
		if !h.matchesTable(id, outcome) {
			h.findings.Misreported++
		}
	}
}

// matchesTable reports whether the outcome reported to an operator agrees with the table.
func (h *history) matchesTable(id string, outcome classifier.Outcome) bool {
	row := h.rows[accepter.AuditKey(id)]
	audit, err := accepter.Decode[accepter.Audit](row)
	if err != nil {
		panic(err)
	}
	applied := row.Version != 0 && !audit.Blocked
	switch {
	case outcome == classifier.Completed:
		return applied
	case outcome.NotRun():
		return !applied
	default:
		return true
	}
}
