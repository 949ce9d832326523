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

// model is the record that the measured fleet changes, and models are those that the histories change.
var (
	model  = recorder.Ref{Kind: recorder.KindModel, Name: "chat"}
	models = []recorder.Ref{model, {Kind: recorder.KindModel, Name: "draft"}}
)

// workers is the number of histories that run side by side.
const workers = 4

// Explore runs random histories of a seed and returns what they found.
func Explore(seed uint64, histories int) (Findings, error) {
	rows, err := prepare()
	if err != nil {
		return Findings{}, err
	}
	parts := make([]Findings, workers)
	var wait sync.WaitGroup
	for k := range workers {
		wait.Go(func() {
			for n := k; n < histories; n += workers {
				parts[k].add(newHistory(seed, uint64(n), rows).run())
			}
		})
	}
	wait.Wait()
	var all Findings
	for _, part := range parts {
		all.add(part)
	}
	return all, nil
}

// prepare returns the rows of a table in which some revisions of each model were submitted.
func prepare() (map[string]tabler.Row, error) {
	w := &history{rows: map[string]tabler.Row{}}
	for i := range revisions {
		for _, ref := range models {
			if err := w.submit(ref, i); err != nil {
				return nil, err
			}
		}
	}
	return w.rows, nil
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

// poll reads the head and the log for an instance. The answer is on its way and may be overtaken.
func (h *history) poll(i int) {
	if h.down {
		return
	}
	head, err := accepter.Decode[accepter.Head](h.rows[accepter.HeadKey])
	if err != nil {
		panic(err)
	}
	h.messages = append(h.messages, message{to: i, polled: true, head: head.Epoch, deltas: h.log(h.followers[i].LatestSnapshot.Epoch)})
}

// ask lets an instance ask a peer, whose answer is on its way.
func (h *history) ask(i, peer int) {
	f := h.followers[peer]
	h.messages = append(h.messages, message{
		to:       i,
		from:     fmt.Sprint("i", peer),
		snapshot: f.LatestSnapshot,
		vouch:    follower.Peer{Epoch: f.ActiveEpoch, ConfirmsEpoch: f.ConfirmsEpoch()},
	})
}

// deliver delivers one message out of order, drops it, or delivers it and leaves it to come again.
func (h *history) deliver() {
	if len(h.messages) == 0 {
		return
	}
	i := h.r.IntN(len(h.messages))
	m := h.messages[i]
	fate := h.r.IntN(5)
	if fate != 0 {
		h.messages = append(h.messages[:i], h.messages[i+1:]...)
	}
	if fate != 1 {
		h.take(m.to, m)
	}
}

// take lets an instance take a message in and checks what it has in force afterwards.
func (h *history) take(i int, m message) {
	f := h.followers[i]
	if m.polled {
		h.check(i, func() follower.Decision { return f.RecordHead(h.now, m.head) })
	}
	if m.from != "" {
		h.check(i, func() follower.Decision { return f.RecordPeer(h.now, m.from, m.vouch.Epoch, m.vouch.ConfirmsEpoch) })
	}
	if m.snapshot.Epoch > 0 {
		h.check(i, func() follower.Decision { return f.ApplySnapshot(h.now, m.snapshot) })
	}
	for _, d := range m.deltas {
		h.check(i, func() follower.Decision { return f.ApplyDelta(h.now, d) })
	}
}

// check carries one event of an instance out, compares what it has in force before and after, and passes on what it
// learnt.
func (h *history) check(i int, event func() follower.Decision) {
	f := h.followers[i]
	before := f.ActiveEpoch
	d := event()
	if f.ActiveEpoch < before {
		h.found.Reversions++
	}
	if !d.Applied {
		return
	}
	h.found.Applied++
	truth := h.delta(f.ActiveEpoch)
	if truth.Sum != f.LatestSnapshot.Checksum() {
		h.found.Divergent++
	}
	for range 2 {
		h.messages = append(h.messages, message{to: h.r.IntN(members), deltas: []recorder.Delta{truth}})
	}
}

// delta returns the delta of an epoch as the table has it.
func (h *history) delta(epoch int64) recorder.Delta {
	d, err := accepter.Decode[recorder.Delta](h.rows[accepter.LogKey(epoch)])
	if err != nil {
		panic(err)
	}
	return d
}

// finish ends the faults, lets what is late arrive, and compares what everyone believes with the table.
func (h *history) finish() {
	for len(h.late) > 0 {
		h.land()
	}
	h.down = false
	for i := range h.followers {
		h.poll(i)
		h.take(i, h.messages[len(h.messages)-1])
	}
	for len(h.messages) > 0 {
		m := h.messages[0]
		h.messages = h.messages[1:]
		h.take(m.to, m)
	}
	head, err := accepter.Decode[accepter.Head](h.rows[accepter.HeadKey])
	if err != nil {
		panic(err)
	}
	h.found.Epochs = head.Epoch
	for _, f := range h.followers {
		if f.ActiveEpoch != head.Epoch {
			h.found.Behind++
		}
	}
	for id, outcome := range h.told {
		if !h.fits(id, outcome) {
			h.found.Misreported++
		}
	}
}

// fits reports whether what an operator was told agrees with the table.
func (h *history) fits(id string, outcome classifier.Outcome) bool {
	row := h.rows[accepter.AuditKey(id)]
	audit, err := accepter.Decode[accepter.Audit](row)
	if err != nil {
		panic(err)
	}
	done := row.Version != 0 && !audit.Blocked
	switch {
	case outcome == classifier.Completed:
		return done
	case outcome.NotRun():
		return !done
	default:
		return true
	}
}
