package accepter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// register is the state of the linearizable head: the epoch and the revision in force.
type register struct{ epoch, force int64 }

// call is the input of an operation: an accept, or a read if revision is 0.
type call struct{ seen, revision int64 }

// reply is the output of an operation.
type reply struct {
	outcome classifier.Outcome
	register
}

// head is the register that the protocol claims to be. An accept whose outcome is unknown may have had its effect.
var head = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{epoch: 1, force: 1}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(call), output.(reply)
		if in.revision == 0 {
			if s != out.register {
				return nil
			}
			return []any{s}
		}
		var next []any
		if out.outcome != classifier.Completed {
			next = append(next, s)
		}
		applied := register{epoch: s.epoch + 1, force: in.revision}
		if !out.outcome.NotRun() && s.force == in.seen && (out.epoch == 0 || out.epoch == applied.epoch) {
			next = append(next, applied)
		}
		return next
	},
}).ToModel()

// chooser makes the random choices of a history.
type chooser interface{ IntN(n int) int }

// drawn draws choices from rapid.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// operator is one operator's mutation under way.
type operator struct {
	mutation *Mutation
	step     Step
	input    call
	began    int64
}

// history runs operators that race on one record through random faults, late writes and outages, and reports whether
// what they were told fits a linearizable head.
func history(t testing.TB, c chooser, unblocked bool) bool {
	s := newStore()
	s.run(submit("s1", modelRecord(t, 100)), nil)
	s.run(accept("a1", "ann", 0, 1), nil)
	for i := 2; i <= 4; i++ {
		s.run(submit(fmt.Sprint("s", i), modelRecord(t, 100-i, i)), nil)
	}
	const operators, steps = 3, 60
	running := make([]*operator, operators)
	var ops []porcupine.Operation
	var unknown []porcupine.Operation
	for clock := int64(1); clock < steps; clock++ {
		if len(s.late) > 0 && c.IntN(4) == 0 {
			s.land(c.IntN(len(s.late)))
		}
		s.down = c.IntN(8) == 0
		i := c.IntN(operators)
		if running[i] == nil {
			in := call{seen: int64(1 + c.IntN(4)), revision: int64(1 + c.IntN(4))}
			m := NewMutation(accept(fmt.Sprint("m", clock), fmt.Sprint("o", i), in.seen, in.revision), recorder.Snapshot{}, nil)
			m.unblocked = unblocked
			running[i] = &operator{mutation: m, step: m.Begin(start), input: in, began: clock * 2}
			continue
		}
		o := running[i]
		o.step = s.next(start, o.mutation, o.step, fault(c.IntN(int(faults))))
		if o.step.Result == nil {
			continue
		}
		running[i] = nil
		out := reply{outcome: o.step.Result.Outcome}
		if out.outcome == classifier.Completed {
			out.epoch = o.step.Result.Epoch
		}
		op := porcupine.Operation{ClientId: int(clock) + operators, Input: o.input, Call: o.began, Output: out, Return: clock*2 + 1}
		if out.outcome == classifier.Unknown {
			unknown = append(unknown, op)
			continue
		}
		ops = append(ops, op)
		ops = append(ops, s.observe(clock*2+1, clock*2+1))
	}
	for _, o := range running {
		if o != nil {
			unknown = append(unknown, porcupine.Operation{Input: o.input, Call: o.began, Output: reply{}})
		}
	}
	for len(s.late) > 0 {
		s.land(0)
	}
	const end = steps*2 + 10
	ops = append(ops, s.observe(end, end))
	for i, op := range unknown {
		op.ClientId, op.Return = 1000+i, end+10
		ops = append(ops, op)
	}
	return porcupine.CheckOperations(head, ops)
}

// observe returns the operation that reads the head.
func (s *store) observe(begin, end int64) porcupine.Operation {
	h, _ := Decode[Head](s.rows[HeadKey])
	e, _ := Decode[Entry](s.rows[EntryKey(recorder.Ref{Kind: recorder.KindModel, Name: "chat"})])
	out := reply{register: register{epoch: h.Epoch, force: e.Force}}
	return porcupine.Operation{Input: call{}, Call: begin, Output: out, Return: end}
}

func TestHeadIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if !history(t, drawn{rt}, false) {
			rt.Fatal("the answers do not fit a linearizable head")
		}
	})
}

func TestExplorationFindsMissingBlock(t *testing.T) {
	const histories = 5000
	r := rand.New(rand.NewPCG(1, 2))
	for range histories {
		if !history(t, r, true) {
			return
		}
	}
	t.Errorf("%d histories without the blocking row found no violation", histories)
}
