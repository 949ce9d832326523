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

// check is one step of the script: a description of what it demonstrates, and the function that does so.
type check struct {
	name string
	run  func(ctx context.Context, s *session) (string, error)
}

// checks are the steps of the script in order.
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

// runScript runs the checks in order and returns the exit code.
func runScript(ctx context.Context, w io.Writer, fleet *assembler.Fleet) int {
	ctx, cancel := context.WithTimeout(ctx, scriptTimeout)
	defer cancel()
	s := &session{fleet: fleet, caller: assembler.NewCaller(team)}
	defer s.caller.Close()
	for _, c := range checks {
		detail, err := c.run(ctx, s)
		if err != nil {
			fmt.Fprintf(w, "FAILED  %s: %v\n", c.name, err)
			return launcher.ExitFailed
		}
		fmt.Fprintf(w, "ok      %s: %s\n", c.name, detail)
	}
	return launcher.ExitDone
}

// checkRecord activates the demo's records.
func checkRecord(ctx context.Context, s *session) (string, error) {
	epoch, err := s.fleet.Accept(ctx, assembler.MixedRecords(team)...)
	if err != nil {
		return "", err
	}
	for _, r := range s.fleet.Nodes {
		if _, ok := r.View().Models[assembler.Model]; !ok {
			return "", merry.Errorf("model %s is not in force on %s", assembler.Model, r.ID())
		}
	}
	return fmt.Sprintf("epoch %d", epoch), s.fleet.WaitForEngines(ctx)
}

// verifyAnswer checks that an answer is complete and is what the engines' arithmetic gives.
func verifyAnswer(a assembler.Answer, prompt string, limit int) error {
	_, want := decoder.ExpectedAnswer(assembler.Model, "v1", "", prompt, assembler.Layers, limit)
	if a.Text != want || !a.IsComplete {
		return merry.Errorf("status %d code %q: the answer is %q, want %q", a.Status, a.Code, a.Text, want)
	}
	return nil
}

// checkAnswer requests one answer from each instance.
func checkAnswer(ctx context.Context, s *session) (string, error) {
	const prompt, limit = "a sash for a third class carriage", 24
	tokens := 0
	for _, r := range s.fleet.Nodes {
		a, err := s.caller.Complete(ctx, r.CallerAddress(), assembler.Model, prompt, limit)
		if err != nil {
			return "", err
		}
		if err := verifyAnswer(a, prompt, limit); err != nil {
			return "", err
		}
		tokens += len(a.TokenTimes)
	}
	return fmt.Sprintf("%d tokens as the engines' arithmetic gives them", tokens), nil
}

// pendingAnswer is an answer in flight; done is closed at its end.
type pendingAnswer struct {
	answer assembler.Answer
	err    error
	done   chan struct{}
}

// run waits for the answer.
func (a *pendingAnswer) run(ctx context.Context, s *session, address, prompt string, limit int) {
	defer close(a.done)
	a.answer, a.err = s.caller.Complete(ctx, address, assembler.Model, prompt, limit)
}

// checkKill crashes the middle stage of an answer in progress.
func checkKill(ctx context.Context, s *session) (string, error) {
	// The answer to this prompt is as long as the limit.
	const prompt, limit = "a pattern for a footboard", 120
	node := s.fleet.Nodes[0]
	a := &pendingAnswer{done: make(chan struct{})}
	go a.run(ctx, s, node.CallerAddress(), prompt, limit)
	var running []router.Attempt
	err := assembler.WaitUntil(ctx, func() bool {
		running = node.Router().Attempts()
		return len(running) > 0 && running[0].Tokens >= 5
	})
	if err != nil {
		return "", err
	}
	stages := running[0].Plan.Stages
	victim := stages[1].Endpoint
	s.fleet.Standins.StandIn(victim).Crash()
	<-a.done
	if a.err != nil {
		return "", a.err
	}
	if err := verifyAnswer(a.answer, prompt, limit); err != nil {
		return "", err
	}
	if err := s.fleet.Standins.StandIn(victim).Restore(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s of %d stages crashed after token %d of %d", victim, len(stages), running[0].Tokens,
		len(a.answer.TokenTimes)), nil
}

// checkHold sends the same hold to both instances under one key.
func checkHold(ctx context.Context, s *session) (string, error) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Appendf(nil, `{"item":%q,"quantity":2}`, assembler.StockItem)
	for _, r := range s.fleet.Nodes {
		header := http.Header{"Idempotency-Key": {key}, "Content-Type": {"application/json"}}
		a, err := s.caller.Send(ctx, http.MethodPost, r.CallerAddress(), "/v1/services/"+assembler.Service+"/holds", header, body)
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
	// The service receives the key prefixed by the team's name.
	runs := s.fleet.Standins.Ledgers[assembler.Service].RunCounts()[team+":"+key]
	if runs != 1 {
		return "", merry.Errorf("the hold ran %d times", runs)
	}
	return "both told completed, 1 hold in the ledger", nil
}

// checkDrain shuts the first instance down while it streams answers.
func checkDrain(ctx context.Context, s *session) (string, error) {
	const callers, prompt, limit = 12, "a pattern for a footboard", 60
	first := s.fleet.Nodes[0]
	answers := make([]*pendingAnswer, callers)
	for i := range answers {
		answers[i] = &pendingAnswer{done: make(chan struct{})}
		go answers[i].run(ctx, s, first.CallerAddress(), prompt, limit)
	}
	err := assembler.WaitUntil(ctx, func() bool { return len(first.Router().Attempts()) == callers })
	if err != nil {
		return "", err
	}
	var wait sync.WaitGroup
	cutOff := 0
	wait.Go(func() { cutOff = s.fleet.DrainFirst(ctx) })
	for _, a := range answers {
		<-a.done
		if a.err != nil {
			return "", a.err
		}
		if err := verifyAnswer(a.answer, prompt, limit); err != nil {
			return "", err
		}
	}
	wait.Wait()
	if cutOff > 0 {
		return "", merry.Errorf("%d requests were cut off", cutOff)
	}
	return fmt.Sprintf("%d answers whole", callers), nil
}
