package presenter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/serving/launcher"
	"github.com/heatherrock/heatherrock/internal/serving/router"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

// check is one step of the script: what it shows, and how.
type check struct {
	name string
	run  func(ctx context.Context, p *session) (string, error)
}

// checks is the script, in order.
var checks = []check{
	{"a record is submitted, accepted and in force on both instances", checkRecord},
	{"an answer is streamed through three stages on mixed accelerators", checkAnswer},
	{"a stage is killed mid-stream and the answer is complete", checkKill},
	{"a stock hold is sent twice, to both instances, and placed once", checkHold},
	{"an instance is shut down under load and no request is cut off", checkDrain},
}

// session is one run of the script.
type session struct {
	fleet  *assembler.Fleet
	caller *assembler.Caller
}

// script runs the checks in order and returns the exit code.
func script(ctx context.Context, w io.Writer, fleet *assembler.Fleet) int {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	p := &session{fleet: fleet, caller: assembler.NewCaller(team)}
	defer p.caller.Close()
	for _, c := range checks {
		seen, err := c.run(ctx, p)
		if err != nil {
			fmt.Fprintf(w, "FAILED  %s: %v\n", c.name, err)
			return launcher.ExitFailed
		}
		fmt.Fprintf(w, "ok      %s: %s\n", c.name, seen)
	}
	return launcher.ExitDone
}

// checkRecord brings the demo's records into force.
func checkRecord(ctx context.Context, p *session) (string, error) {
	epoch, err := p.fleet.Accept(ctx, assembler.Records(team)...)
	if err != nil {
		return "", err
	}
	for _, r := range p.fleet.Nodes {
		if _, ok := r.View().Models[assembler.Model]; !ok {
			return "", merry.Errorf("model %s is not in force on %s", assembler.Model, r.ID())
		}
	}
	return fmt.Sprintf("epoch %d", epoch), p.fleet.Covered(ctx)
}

// verify compares an answer with the reference of the engines' arithmetic.
func verify(a assembler.Answer, prompt string, limit int) error {
	_, want := decoder.ExpectedAnswer(assembler.Model, "v1", "", prompt, assembler.Layers, limit)
	if a.Text != want || !a.Whole {
		return merry.Errorf("status %d code %q: the answer is %q, want %q", a.Status, a.Code, a.Text, want)
	}
	return nil
}

// checkAnswer asks each instance for one answer.
func checkAnswer(ctx context.Context, p *session) (string, error) {
	const prompt, limit = "a sash for a third class carriage", 24
	tokens := 0
	for _, r := range p.fleet.Nodes {
		a, err := p.caller.Complete(ctx, r.CallerAddress(), assembler.Model, prompt, limit)
		if err != nil {
			return "", err
		}
		if err := verify(a, prompt, limit); err != nil {
			return "", err
		}
		tokens += len(a.Tokens)
	}
	return fmt.Sprintf("%d tokens as the engines' arithmetic gives them", tokens), nil
}

// asked is an answer that is on its way.
type asked struct {
	answer assembler.Answer
	err    error
	done   chan struct{}
}

// run waits for the answer.
func (a *asked) run(ctx context.Context, p *session, address, prompt string, limit int) {
	defer close(a.done)
	a.answer, a.err = p.caller.Complete(ctx, address, assembler.Model, prompt, limit)
}

// checkKill crashes the middle stage of an answer in progress.
func checkKill(ctx context.Context, p *session) (string, error) {
	// This prompt's answer is as long as its limit.
	const prompt, limit = "a pattern for a footboard", 120
	node := p.fleet.Nodes[0]
	a := &asked{done: make(chan struct{})}
	go a.run(ctx, p, node.CallerAddress(), prompt, limit)
	var running []router.Attempt
	err := assembler.Until(ctx, func() bool {
		running = node.Router().Attempts()
		return len(running) > 0 && running[0].Tokens >= 5
	})
	if err != nil {
		return "", err
	}
	stages := running[0].Plan.Stages
	victim := stages[1].Endpoint
	p.fleet.Standins.StandIn(victim).Crash()
	<-a.done
	if a.err != nil {
		return "", a.err
	}
	if err := verify(a.answer, prompt, limit); err != nil {
		return "", err
	}
	if err := p.fleet.Standins.StandIn(victim).Restore(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s of %d stages crashed after token %d of %d", victim, len(stages), running[0].Tokens,
		len(a.answer.Tokens)), nil
}

// checkHold sends one hold to each instance under the same key.
func checkHold(ctx context.Context, p *session) (string, error) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Appendf(nil, `{"item":%q,"quantity":2}`, assembler.Item)
	for _, r := range p.fleet.Nodes {
		header := http.Header{"Idempotency-Key": {key}, "Content-Type": {"application/json"}}
		a, err := p.caller.Send(ctx, http.MethodPost, r.CallerAddress(), "/v1/services/"+assembler.Service+"/holds", header, body)
		if err != nil {
			return "", err
		}
		content, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil {
			return "", err
		}
		if got := a.Header.Get("Heatherrock-Outcome"); got != "completed" {
			return "", merry.Errorf("%s: outcome %q: %s", r.ID(), got, content)
		}
	}
	// The service is given the key with the team's name before it.
	runs := p.fleet.Standins.Ledgers[assembler.Service].RunCounts()[team+":"+key]
	if runs != 1 {
		return "", merry.Errorf("the hold ran %d times", runs)
	}
	return "both told completed, 1 hold in the ledger", nil
}

// checkDrain shuts the first instance down while callers stream from it.
func checkDrain(ctx context.Context, p *session) (string, error) {
	const callers, prompt, limit = 12, "a pattern for a footboard", 60
	first := p.fleet.Nodes[0]
	answers := make([]*asked, callers)
	for i := range answers {
		answers[i] = &asked{done: make(chan struct{})}
		go answers[i].run(ctx, p, first.CallerAddress(), prompt, limit)
	}
	err := assembler.Until(ctx, func() bool { return len(first.Router().Attempts()) == callers })
	if err != nil {
		return "", err
	}
	var wait sync.WaitGroup
	cut := 0
	wait.Go(func() { cut = p.fleet.Retire(ctx) })
	for _, a := range answers {
		<-a.done
		if a.err != nil {
			return "", a.err
		}
		if err := verify(a.answer, prompt, limit); err != nil {
			return "", err
		}
	}
	wait.Wait()
	if cut > 0 {
		return "", merry.Errorf("%d requests were cut off", cut)
	}
	return fmt.Sprintf("%d answers whole", callers), nil
}
