package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/serving/commander"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

// testSite is the instances of a user with its stand-ins, all on free ports.
type testSite struct {
	user     string
	standins *starter.Starter
	nodes    []*runner.Runner
}

// newTestSite starts a user's stand-ins and instances.
func newTestSite(t *testing.T, user string) *testSite {
	t.Helper()
	fleet := readExampleFleet(t, user)
	fleet.Entries = nil
	standins, err := starter.Start(fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standins.Close)
	s := &testSite{user: user, standins: standins}
	files, err := filepath.Glob(examplePath(user, "instances", "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		s.startInstance(t, file)
	}
	return s
}

// startInstance starts one instance with the settings of a file, except for the addresses and the progress timeout,
// which is raised so that a busy machine does not exceed it.
func (s *testSite) startInstance(t *testing.T, file string) {
	t.Helper()
	settings, err := configurer.Parse([]string{
		"-config", file,
		"-callers.address", "127.0.0.1:0", "-operators.address", "127.0.0.1:0", "-peers.address", "127.0.0.1:0",
		"-tables", s.standins.URL(starter.NameTables), "-objects", s.standins.URL(starter.NameObjects),
		"-instances", s.standins.URL(starter.NameInstances), "-weights", s.standins.URL(starter.NameWeights),
		"-times.progress", "1m",
	})
	if err != nil {
		t.Fatal(err)
	}
	r := runner.New(settings, runner.NewPlatform(settings), runner.WithLog(slog.New(slog.DiscardHandler)))
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	s.nodes = append(s.nodes, r)
	s.standins.List.Put(lister.Instance{
		ID: settings.ID, Role: lister.RoleEntry, Address: r.PeerAddress(),
		DataCentre: settings.DataCentre, Region: settings.Region,
	})
}

// sendCommand sends a command to the first instance as an operator.
func (s *testSite) sendCommand(ctx context.Context, c accepter.Command) (accepter.Result, error) {
	client := commander.NewClient("http://"+s.nodes[0].OperatorAddress(), s.user+"-operator")
	var result accepter.Result
	_, err := client.Do(ctx, http.MethodPost, "/changes", c, &result, http.StatusOK)
	return result, err
}

// acceptRecords submits and accepts the user's records, and waits until they are active on every instance and every
// instance has discovered all engines.
func (s *testSite) acceptRecords(ctx context.Context, t *testing.T) {
	t.Helper()
	records, _ := validator.ParseFile("records.json", readFile(t, examplePath(s.user, "records.json")))
	submit := accepter.Command{ID: "submit-1", Action: accepter.ActionSubmit, Operator: "duty", Records: records}
	submitted, err := s.sendCommand(ctx, submit)
	if err != nil {
		t.Fatal(err)
	}
	var accepted accepter.Result
	attempts := 0
	waitErr := assembler.WaitUntil(ctx, func() bool {
		attempts++
		accepted, err = s.sendCommand(ctx, accepter.Command{
			ID: fmt.Sprint("accept-", attempts), Action: accepter.ActionAccept, Operator: "duty", Changes: submitted.Changes,
		})
		return err == nil
	})
	if waitErr != nil {
		t.Fatal(err)
	}
	waitErr = assembler.WaitUntil(ctx, func() bool {
		for _, r := range s.nodes {
			endpoints := len(r.Router().State(time.Now()).Picker.Endpoints)
			if r.View().Epoch < accepted.Epoch || endpoints < len(s.standins.Engines) {
				return false
			}
		}
		return true
	})
	if waitErr != nil {
		t.Fatal(waitErr)
	}
}

// TestExamples runs the seven instances of each user with its stand-ins: the records become active on all instances,
// each instance streams a complete answer, and a hold or order that is sent to two instances is placed once.
func TestExamples(t *testing.T) {
	teams := map[string]string{"agency": "strathglen", "tregaron": "shops-south"}
	effects := map[string]string{"agency": "/v1/services/stores/holds", "tregaron": "/v1/services/parts/orders"}
	items := map[string]string{"agency": "seasoned-oak", "tregaron": "latch"}
	for _, user := range users {
		t.Run(user, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			s := newTestSite(t, user)
			s.acceptRecords(ctx, t)
			caller := assembler.NewCaller(user + "-" + teams[user])
			defer caller.Close()
			s.checkAnswers(ctx, t, caller)
			s.checkPlacedOnce(ctx, t, caller, effects[user], items[user])
		})
	}
}

// checkAnswers requests an answer from each instance and compares it with the reference.
func (s *testSite) checkAnswers(ctx context.Context, t *testing.T, caller *assembler.Caller) {
	t.Helper()
	held := s.standins.Fleet.Engines[0].Held[0]
	layers := 2 * held.To
	for i, r := range s.nodes {
		prompt := fmt.Sprint("which part fits, number ", i)
		_, want := decoder.ExpectedAnswer(held.Model, held.Version, "", prompt, layers, 12)
		got, err := caller.Complete(ctx, r.CallerAddress(), held.Model, prompt, 12)
		if diff := cmp.Diff(want, got.Text); diff != "" || err != nil || !got.IsComplete {
			t.Errorf("%s: error %v, answer %+v; mismatch (-want +got):\n%s", r.ID(), err, got, diff)
		}
	}
}

// checkPlacedOnce sends one hold or order to two instances with the same idempotency key and checks that it ran once.
func (s *testSite) checkPlacedOnce(ctx context.Context, t *testing.T, caller *assembler.Caller, effect, item string) {
	t.Helper()
	header := http.Header{"Idempotency-Key": {time.Now().UTC().Format("20060102") + "-1"}}
	body, err := json.Marshal(map[string]any{"item": item, "quantity": 1})
	if err != nil {
		t.Fatal(err)
	}
	var replies []string
	for _, r := range s.nodes[:2] {
		resp, err := caller.Send(ctx, http.MethodPost, r.CallerAddress(), effect, header, body)
		if err != nil {
			t.Fatal(err)
		}
		var content bytes.Buffer
		_, err = content.ReadFrom(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		replies = append(replies, fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Heatherrock-Outcome"), " ", content.String()))
	}
	if diff := cmp.Diff(replies[0], replies[1]); diff != "" {
		t.Errorf("the second reply differs (-first +second):\n%s", diff)
	}
	for _, ledger := range s.standins.Ledgers {
		if placed := ledger.Placements(); len(placed) != 1 {
			t.Errorf("placed %+v; replies %q", placed, replies)
		}
	}
}
