package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

// users are the directories of the examples.
var users = []string{"agency", "tregaron"}

func examplePath(elements ...string) string {
	return filepath.Join(append([]string{"..", "..", "examples"}, elements...)...)
}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// readExampleFleet returns the stand-ins of a user, on free ports and without a timeout between engines, which a busy
// machine could exceed.
func readExampleFleet(t *testing.T, user string) starter.Fleet {
	t.Helper()
	f, err := starter.ParseFleet(readFile(t, examplePath(user, "standins.json")))
	if err != nil {
		t.Fatal(err)
	}
	f.ControlAddress, f.Tables.Address, f.Objects.Address, f.Instances.Address, f.Weights.Address = "", "", "", "", ""
	for name, k := range f.Kinds {
		k.StageTimeout = 0
		f.Kinds[name] = k
	}
	for i := range f.Engines {
		f.Engines[i].Address = ""
	}
	for i := range f.Servers {
		f.Servers[i].Address = ""
	}
	return f
}

func TestExampleSettings(t *testing.T) {
	for _, user := range users {
		t.Run(user, func(t *testing.T) {
			fleet, err := starter.ParseFleet(readFile(t, examplePath(user, "standins.json")))
			if err != nil {
				t.Fatal(err)
			}
			files, err := filepath.Glob(examplePath(user, "instances", "*.json"))
			if err != nil {
				t.Fatal(err)
			}
			var entries []lister.Instance
			for _, file := range files {
				s, err := configurer.Parse([]string{"-config", file})
				if err != nil {
					t.Fatal(err)
				}
				entries = append(entries, lister.Instance{
					ID: s.ID, Role: lister.RoleEntry, Address: s.Peers.Address, DataCentre: s.DataCentre, Region: s.Region,
				})
				got := []string{s.TablesURL, s.ObjectsURL, s.InstancesURL, s.WeightsURL}
				want := []string{
					"http://" + fleet.Tables.Address, "http://" + fleet.Objects.Address,
					"http://" + fleet.Instances.Address, "http://" + fleet.Weights.Address,
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%s: platform mismatch (-want +got):\n%s", file, diff)
				}
			}
			if diff := cmp.Diff(fleet.Entries, entries); diff != "" || len(entries) != 7 {
				t.Errorf("%d entries; mismatch (-listed +set):\n%s", len(entries), diff)
			}
		})
	}
}

func TestExampleRecords(t *testing.T) {
	for _, user := range users {
		t.Run(user, func(t *testing.T) {
			content := readFile(t, examplePath(user, "records.json"))
			faults, notes := validator.CheckFile("records.json", content)
			if len(faults)+len(notes) > 0 {
				t.Errorf("faults %v, notes %v", faults, notes)
			}
			records, _ := validator.ParseFile("records.json", content)
			counts := map[string]int{}
			for _, r := range records {
				counts[r.Kind]++
			}
			want := map[string]int{
				recorder.KindModel: 1, recorder.KindService: 1, recorder.KindTeam: 10,
				recorder.KindEndpoint: 3, recorder.KindFleet: 1,
			}
			if diff := cmp.Diff(want, counts); diff != "" {
				t.Errorf("records mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestExampleStandins starts the stand-ins of each user and streams an answer through three stages on two kinds of
// accelerator.
func TestExampleStandins(t *testing.T) {
	for _, user := range users {
		t.Run(user, func(t *testing.T) {
			s, err := starter.Start(readExampleFleet(t, user))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if len(s.Engines) != 30 || len(s.Fleet.Servers) != 3 {
				t.Errorf("%d engines and %d servers", len(s.Engines), len(s.Fleet.Servers))
			}
			stages, layers := mixedStages(s)
			held := s.Fleet.Engines[0].Held[0]
			request := streamer.Request{
				Request: "r", Attempt: 1, Model: held.Model, Version: held.Version,
				Prompt: "a window sash", MaxTokens: 8, Stages: stages,
			}
			_, want := decoder.ExpectedAnswer(held.Model, held.Version, "", request.Prompt, layers, request.MaxTokens)
			if diff := cmp.Diff(want, streamText(t, request)); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// mixedStages returns the stages of a path through the first large engine and then small ones, and the number of
// layers.
func mixedStages(s *starter.Starter) ([]streamer.Stage, int) {
	var stages []streamer.Stage
	next := 0
	for _, kind := range []string{"large", "small"} {
		for _, e := range s.Fleet.Engines {
			if e.Kind != kind || len(e.Held) == 0 || e.Held[0].From != next || kind == "large" && next > 0 {
				continue
			}
			next = e.Held[0].To
			stages = append(stages, streamer.Stage{
				Endpoint: e.ID, Address: s.StandIn(e.ID).Server.Address(), From: e.Held[0].From, To: next,
			})
		}
	}
	return stages, next
}

// streamText sends a request to the engine of its first stage and returns the text of the streamed answer.
func streamText(t *testing.T, request streamer.Request) string {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + request.Stages[0].Address + "/engine/streams"
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var text string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var step streamer.Step
		if err := json.Unmarshal(lines.Bytes(), &step); err != nil {
			t.Fatal(err)
		}
		text += step.Text
	}
	return text
}
