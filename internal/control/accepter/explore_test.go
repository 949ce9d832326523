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

// headState is the state of the linearizable head: the epoch and the active revision.
type headState struct{ epoch, active int64 }

// headInput is the input of an operation: an accept, or a read if revision is 0.
type headInput struct{ expected, revision int64 }

// headOutput is the output of an operation.
type headOutput struct {
	outcome classifier.Outcome
	headState
}

// headModel is the linearizable register that the protocol must implement. An accept whose outcome is unknown may have
// had its effect.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{headState{epoch: 1, active: 1}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(headState), input.(headInput), output.(headOutput)
		if in.revision == 0 {
			if s != out.headState {
				return nil
			}
			return []any{s}
		}
		var next []any
		if out.outcome != classifier.Completed {
			next = append(next, s)
		}
		applied := headState{epoch: s.epoch + 1, active: in.revision}
		if !out.outcome.NotRun() && s.active == in.expected && (out.epoch == 0 || out.epoch == applied.epoch) {
			next = append(next, applied)
		}
		return next
	},
}).ToModel()

// choiceSource makes the random choices of a history of operations.
type choiceSource interface{ IntN(n int) int }

// rapidChoices draws choices from rapid.
type rapidChoices struct{ t *rapid.T }

func (d rapidChoices) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// runningMutation is the mutation that an operator has in progress.
type runningMutation struct {
	mutation *Mutation
	step     Step
	input    headInput
	beganAt  int64
}

// isLinearizable runs operators that race on one record under random faults, late writes and outages, and reports
// whether the answers they got fit a linearizable head.
func isLinearizable(t testing.TB, c choiceSource, blockingDisabled bool) bool {
	s := newStore()
	s.runCommand(submit("s1", modelRecord(t, 100)), nil)
	s.runCommand(accept("a1", "ann", 0, 1), nil)
	for i := 2; i <= 4; i++ {
		s.runCommand(submit(fmt.Sprint("s", i), modelRecord(t, 100-i, i)), nil)
	}
	const operators, steps = 3, 60
	running := make([]*runningMutation, operators)
	var ops []porcupine.Operation
	var unknown []porcupine.Operation
	for clock := int64(1); clock < steps; clock++ {
		if len(s.lateTxns) > 0 && c.IntN(4) == 0 {
			s.applyLate(c.IntN(len(s.lateTxns)))
		}
		s.isDown = c.IntN(8) == 0
		i := c.IntN(operators)
		if running[i] == nil {
			in := headInput{expected: int64(1 + c.IntN(4)), revision: int64(1 + c.IntN(4))}
			m := NewMutation(accept(fmt.Sprint("m", clock), fmt.Sprint("o", i), in.expected, in.revision), recorder.Snapshot{}, nil)
			m.blockingDisabled = blockingDisabled
			running[i] = &runningMutation{mutation: m, step: m.Begin(start), input: in, beganAt: clock * 2}
			continue
		}
		o := running[i]
		o.step = s.runStep(start, o.mutation, o.step, fault(c.IntN(int(faultCount))))
		if o.step.Result == nil {
			continue
		}
		running[i] = nil
		out := headOutput{outcome: o.step.Result.Outcome}
		if out.outcome == classifier.Completed {
			out.epoch = o.step.Result.Epoch
		}
		op := porcupine.Operation{ClientId: int(clock) + operators, Input: o.input, Call: o.beganAt, Output: out, Return: clock*2 + 1}
		if out.outcome == classifier.Unknown {
			unknown = append(unknown, op)
			continue
		}
		ops = append(ops, op)
		ops = append(ops, s.observe(clock*2+1, clock*2+1))
	}
	for _, o := range running {
		if o != nil {
			unknown = append(unknown, porcupine.Operation{Input: o.input, Call: o.beganAt, Output: headOutput{}})
		}
	}
	for len(s.lateTxns) > 0 {
		s.applyLate(0)
	}
	const end = steps*2 + 10
	ops = append(ops, s.observe(end, end))
	for i, op := range unknown {
		op.ClientId, op.Return = 1000+i, end+10
		ops = append(ops, op)
	}
	return porcupine.CheckOperations(headModel, ops)
}

// observe reads the head and returns that read as an operation from begin to end.
func (s *store) observe(begin, end int64) porcupine.Operation {
	h, _ := Decode[Head](s.rows[HeadKey])
	e, _ := Decode[Entry](s.rows[EntryKey(recorder.Ref{Kind: recorder.KindModel, Name: "chat"})])
	out := headOutput{headState: headState{epoch: h.Epoch, active: e.ActiveRevision}}
	return porcupine.Operation{Input: headInput{}, Call: begin, Output: out, Return: end}
}

func TestHeadIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if !isLinearizable(t, rapidChoices{rt}, false) {
			rt.Fatal("the answers do not fit a linearizable head")
		}
	})
}

func TestExplorationFindsMissingBlock(t *testing.T) {
	const histories = 5000
	r := rand.New(rand.NewPCG(1, 2))
	for range histories {
		if !isLinearizable(t, r, true) {
			return
		}
	}
	t.Errorf("%d histories without the blocking row found no violation", histories)
}
