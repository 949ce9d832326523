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

// stream reads one answer. It calls begun after the first piece, if there is one.
func stream(c openai.Client, text string, begun func()) (string, error) {
	s := c.Chat.Completions.NewStreaming(context.Background(), chat(text))
	var out strings.Builder
	for pieces := 0; s.Next(); pieces++ {
		for _, choice := range s.Current().Choices {
			out.WriteString(choice.Delta.Content)
		}
		if pieces == 0 {
			begun()
		}
	}
	return out.String(), s.Err()
}

// TestRetireUnderLoad retires a model while requests for it are in flight and more arrive. Those admitted are answered
// whole under the record that they were admitted under; those that come later are refused as not run.
func TestRetireUnderLoad(t *testing.T) {
	const requests = 8
	r := start(t)
	_, want := decoder.Answer("oak", "v1", "", "user: a sill\n", layers, 20)
	c := client(r, token)
	var begun, ended sync.WaitGroup
	begun.Add(requests)
	answers := make([]string, requests)
	failures := make([]error, requests)
	for i := range requests {
		ended.Go(func() {
			once := sync.OnceFunc(begun.Done)
			defer once()
			answers[i], failures[i] = stream(c, "a sill", once)
		})
	}
	begun.Wait()
	more := make([]error, requests)
	for i := range requests {
		ended.Go(func() {
			text, err := stream(c, "a sill", func() {})
			if err == nil && text != want {
				err = errors.New("answer is not whole: " + text)
			}
			more[i] = err
		})
	}
	retire := accepter.Command{ID: "retire-1", Action: accepter.ActionRetire, Operator: "duty",
		Changes: []accepter.Change{{Kind: recorder.KindModel, Name: "oak", ExpectedRevision: 1}}}
	if got := committer.New(r.platform.Table, r.config).Do(context.Background(), retire); got.Outcome != classifier.Completed {
		t.Fatalf("retire: %+v", got)
	}
	_, late := stream(c, "a sill", func() {})
	ended.Wait()
	for i := range requests {
		if diff := cmp.Diff(want, answers[i]); failures[i] != nil || diff != "" {
			t.Errorf("request %d in flight: %v\n%s", i, failures[i], diff)
		}
		if more[i] != nil && !refused(more[i]) {
			t.Errorf("request %d beside the retire: %v", i, more[i])
		}
	}
	if !refused(late) {
		t.Errorf("request after the retire: %v", late)
	}
}

// refused reports whether an error says that the model does not exist and the request was not run.
func refused(err error) bool {
	var failure *openai.Error
	return errors.As(err, &failure) && failure.StatusCode == http.StatusNotFound &&
		failure.Response.Header.Get("Heatherrock-Outcome") == classifier.VerdictNotRun.String()
}
