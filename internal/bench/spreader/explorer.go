package spreader

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/platform/tabler"
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
				parts[k].add(newWorld(seed, uint64(n), rows).run())
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
	w := &world{rows: map[string]tabler.Row{}}
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
func (w *world) submit(ref recorder.Ref, share int) error {
	body := recorder.Model{Layers: 8, Tokens: 100, First: 1900, Between: 43,
		Versions: []recorder.Version{{Name: "a", Share: 100 - share}, {Name: "b", Share: share}}}
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
			step = m.TakeRead(time.Time{}, w.read(step))
			continue
		}
		applied := tabler.Result{Outcome: classifier.Completed, Applied: w.apply(*step.Txn)}
		step = m.TakeCommit(time.Time{}, applied, nil)
	}
	if step.Result.Outcome != classifier.Completed {
		return fmt.Errorf("submit: %+v", *step.Result)
	}
	return nil
}

// poll reads the head and the log for an instance. The answer is on its way and may be overtaken.
func (w *world) poll(i int) {
	if w.down {
		return
	}
	head, err := accepter.Decode[accepter.Head](w.rows[accepter.HeadKey])
	if err != nil {
		panic(err)
	}
	w.messages = append(w.messages, message{to: i, polled: true, head: head.Epoch, deltas: w.log(w.followers[i].Known.Epoch)})
}

// ask lets an instance ask a peer, whose answer is on its way.
func (w *world) ask(i, peer int) {
	f := w.followers[peer]
	w.messages = append(w.messages, message{
		to:       i,
		from:     fmt.Sprint("i", peer),
		snapshot: f.Known,
		vouch:    follower.Peer{Epoch: f.Force, Vouches: f.Vouches()},
	})
}

// deliver delivers one message out of order, drops it, or delivers it and leaves it to come again.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.r.IntN(len(w.messages))
	m := w.messages[i]
	fate := w.r.IntN(5)
	if fate != 0 {
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
	}
	if fate != 1 {
		w.take(m.to, m)
	}
}

// take lets an instance take a message in and checks what it has in force afterwards.
func (w *world) take(i int, m message) {
	f := w.followers[i]
	if m.polled {
		w.check(i, func() follower.Decision { return f.Head(w.now, m.head) })
	}
	if m.from != "" {
		w.check(i, func() follower.Decision { return f.Heard(w.now, m.from, m.vouch.Epoch, m.vouch.Vouches) })
	}
	if m.snapshot.Epoch > 0 {
		w.check(i, func() follower.Decision { return f.Apply(w.now, m.snapshot) })
	}
	for _, d := range m.deltas {
		w.check(i, func() follower.Decision { return f.Advance(w.now, d) })
	}
}

// check carries one event of an instance out, compares what it has in force before and after, and passes on what it
// learnt.
func (w *world) check(i int, event func() follower.Decision) {
	f := w.followers[i]
	before := f.Force
	d := event()
	if f.Force < before {
		w.found.Reversions++
	}
	if !d.Applied {
		return
	}
	w.found.Applied++
	truth := w.delta(f.Force)
	if truth.Sum != f.Known.Sum() {
		w.found.Divergent++
	}
	for range 2 {
		w.messages = append(w.messages, message{to: w.r.IntN(members), deltas: []recorder.Delta{truth}})
	}
}

// delta returns the delta of an epoch as the table has it.
func (w *world) delta(epoch int64) recorder.Delta {
	d, err := accepter.Decode[recorder.Delta](w.rows[accepter.LogKey(epoch)])
	if err != nil {
		panic(err)
	}
	return d
}

// finish ends the faults, lets what is late arrive, and compares what everyone believes with the table.
func (w *world) finish() {
	for len(w.late) > 0 {
		w.land()
	}
	w.down = false
	for i := range w.followers {
		w.poll(i)
		w.take(i, w.messages[len(w.messages)-1])
	}
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		w.take(m.to, m)
	}
	head, err := accepter.Decode[accepter.Head](w.rows[accepter.HeadKey])
	if err != nil {
		panic(err)
	}
	w.found.Epochs = head.Epoch
	for _, f := range w.followers {
		if f.Force != head.Epoch {
			w.found.Behind++
		}
	}
	for id, outcome := range w.told {
		if !w.fits(id, outcome) {
			w.found.Misreported++
		}
	}
}

// fits reports whether what an operator was told agrees with the table.
func (w *world) fits(id string, outcome classifier.Outcome) bool {
	row := w.rows[accepter.AuditKey(id)]
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
