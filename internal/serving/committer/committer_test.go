package committer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// source is an instance that applies the deltas that it commits and records their epochs.
type source struct {
	mu              sync.Mutex
	base            recorder.Snapshot
	publishedEpochs []int64
}

func (s *source) LatestSnapshot() recorder.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base
}

func (s *source) LiveInstances(context.Context) []accepter.Instance { return nil }
func (s *source) Compact(context.Context) error                     { return nil }

func (s *source) PublishDelta(d recorder.Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishedEpochs = append(s.publishedEpochs, d.Epoch)
	if next, err := s.base.Advance(d); err == nil {
		s.base = next
	}
}

// submitTeam returns a command that submits the team with number i.
func submitTeam(t *testing.T, i int) accepter.Command {
	t.Helper()
	body := recorder.Team{CredentialHash: fmt.Sprintf("%064x", i+1), QueueWeight: 1}
	r, err := recorder.NewRecord(recorder.KindTeam, fmt.Sprint("t", i), body)
	if err != nil {
		t.Fatal(err)
	}
	return accepter.Command{ID: fmt.Sprint("s", i), Action: accepter.ActionSubmit, Operator: "ann", Records: []recorder.Record{r}}
}

// TestConcurrentOperators changes different records concurrently. Each change must be completed and raise the epoch by
// one.
func TestConcurrentOperators(t *testing.T) {
	const operators = 6
	table := tabler.New()
	s := &source{}
	c := New(table, s)
	ctx := context.Background()
	outcomes := make([]classifier.Outcome, operators)
	var wait sync.WaitGroup
	for i := range operators {
		submit := submitTeam(t, i)
		wait.Go(func() {
			submitted := c.Do(ctx, submit)
			accepted := c.Do(ctx, accepter.Command{ID: fmt.Sprint("a", i), Action: accepter.ActionAccept, Operator: "ann",
				Changes: submitted.Changes})
			outcomes[i] = accepted.Outcome
		})
	}
	wait.Wait()
	for i, outcome := range outcomes {
		if diff := cmp.Diff(classifier.Completed, outcome); diff != "" {
			t.Errorf("operator %d: %s", i, diff)
		}
	}
	row, _, err := table.Get(ctx, accepter.Table, accepter.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	head, err := accepter.Decode[accepter.Head](row)
	if err != nil {
		t.Fatal(err)
	}
	distinctEpochs := map[int64]bool{}
	for _, epoch := range s.publishedEpochs {
		distinctEpochs[epoch] = true
	}
	if diff := cmp.Diff([]int64{operators, operators}, []int64{head.Epoch, int64(len(distinctEpochs))}); diff != "" {
		t.Error(diff)
	}
}

// TestFaults executes one submit under each fault of the store. The reported outcome must agree with what is stored, also
// after delayed writes are applied.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   faulter.Fault
		outcome classifier.Outcome
	}{
		{"response lost", faulter.Fault{CallPrefix: tabler.CallCommit, Kind: faulter.DropResponse, MaxHits: 1}, classifier.Completed},
		{"write delayed", faulter.Fault{CallPrefix: tabler.CallCommit, Kind: faulter.RunLate, DelayMillis: 3_600_000, MaxHits: 1}, classifier.Refused},
		{"commit without a response", faulter.Fault{CallPrefix: tabler.CallCommit, Kind: faulter.Hang, MaxHits: 1}, classifier.Refused},
		{"refused", faulter.Fault{CallPrefix: tabler.CallCommit, Kind: faulter.Refuse}, classifier.Refused},
		{"reads fail", faulter.Fault{CallPrefix: tabler.CallGet, Kind: faulter.Crash}, classifier.NotSent},
		{"all commits fail", faulter.Fault{CallPrefix: tabler.CallCommit, Kind: faulter.Crash}, classifier.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := faulter.NewFaults(1)
			if err := faults.AddFaults(c.fault); err != nil {
				t.Fatal(err)
			}
			table := tabler.New(tabler.WithFaults(faults))
			committer := New(table, &source{}, WithTimeout(20*time.Millisecond), WithRetryDelay(time.Millisecond))
			got := committer.Do(context.Background(), submitTeam(t, 0))
			if diff := cmp.Diff(c.outcome, got.Outcome); diff != "" {
				t.Error(diff, got.Reason)
			}
			faults.Clear()
			table.ApplyLateWrites()
			_, found, err := table.Get(context.Background(), accepter.Table, accepter.EntryKey(recorder.Ref{Kind: "team", Name: "t0"}))
			if err != nil || found != (got.Outcome == classifier.Completed) {
				t.Errorf("reported %s, record stored: %v (%v)", got.OutcomeName, found, err)
			}
		})
	}
}
