package runner

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/committer"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

// streamAnswer reads one streamed answer. It calls onFirst after the first chunk, if there is one.
func streamAnswer(c openai.Client, text string, onFirst func()) (string, error) {
	s := c.Chat.Completions.NewStreaming(context.Background(), chat(text))
	var out strings.Builder
	for chunks := 0; s.Next(); chunks++ {
		for _, choice := range s.Current().Choices {
			out.WriteString(choice.Delta.Content)
		}
		if chunks == 0 {
			onFirst()
		}
	}
	return out.String(), s.Err()
}

// TestRetireUnderLoad retires a model while requests for it are in flight and more arrive. Requests admitted before must
// be answered completely under the record in force at their admission; later ones must be refused as not run.
func TestRetireUnderLoad(t *testing.T) {
	const requests = 8
	r := startInstance(t)
	_, want := decoder.ExpectedAnswer("oak", "v1", "", "user: a sill\n", layers, 20)
	c := client(r, token)
	var started, ended sync.WaitGroup
	started.Add(requests)
	answers := make([]string, requests)
	failures := make([]error, requests)
	for i := range requests {
		ended.Go(func() {
			once := sync.OnceFunc(started.Done)
			defer once()
			answers[i], failures[i] = streamAnswer(c, "a sill", once)
		})
	}
	started.Wait()
	laterErrors := make([]error, requests)
	for i := range requests {
		ended.Go(func() {
			text, err := streamAnswer(c, "a sill", func() {})
			if err == nil && text != want {
				err = errors.New("answer is not complete: " + text)
			}
			laterErrors[i] = err
		})
	}
	retire := accepter.Command{ID: "retire-1", Action: accepter.ActionRetire, Operator: "duty",
		Changes: []accepter.Change{{Kind: recorder.KindModel, Name: "oak", ExpectedRevision: 1}}}
	if got := committer.New(r.platform.Table, r.configPoller).Do(context.Background(), retire); got.Outcome != classifier.Completed {
		t.Fatalf("retire: %+v", got)
	}
	_, afterErr := streamAnswer(c, "a sill", func() {})
	ended.Wait()
	for i := range requests {
		if diff := cmp.Diff(want, answers[i]); failures[i] != nil || diff != "" {
			t.Errorf("request %d in flight: %v\n%s", i, failures[i], diff)
		}
		if laterErrors[i] != nil && !isModelNotFound(laterErrors[i]) {
			t.Errorf("request %d during the retirement: %v", i, laterErrors[i])
		}
	}
	if !isModelNotFound(afterErr) {
		t.Errorf("request after the retirement: %v", afterErr)
	}
}

// isModelNotFound reports whether an error is a refusal because the model does not exist, with the request not run.
func isModelNotFound(err error) bool {
	var failure *openai.Error
	return errors.As(err, &failure) && failure.StatusCode == http.StatusNotFound &&
		failure.Response.Header.Get("Heatherrock-Outcome") == classifier.VerdictNotRun.String()
}
