package stager

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/platform/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

func TestStageServes(t *testing.T) {
	held := func(from, to int) []streamer.Held {
		return []streamer.Held{{Model: "oak", Version: "v1", From: from, To: to}}
	}
	s, err := New(starter.Fleet{
		Tables: &starter.Tables{}, Objects: &starter.Objects{}, Instances: &starter.List{},
		Kinds: map[string]starter.Kind{"large": {}, "small": {}},
		Engines: []starter.Engine{
			{ID: "e1", Kind: "large", DataCentre: "a", Held: held(0, 8)},
			{ID: "e2", Kind: "small", DataCentre: "a", Held: held(8, 12)},
		},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := s.Accept(ctx, NewModel("oak", 12, 64), NewTeam("joiners", 1)); err != nil {
		t.Fatal(err)
	}
	if err := s.Covered(ctx); err != nil {
		t.Fatal(err)
	}
	c := NewCaller("joiners")
	defer c.Close()
	_, want := decoder.Answer("oak", "v1", "", "a latch", 12, 10)
	for _, r := range s.Nodes {
		a, err := c.Complete(ctx, r.CallerAddress(), "oak", "a latch", 10)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, a.Text); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s\n%+v", diff, a)
		}
	}
}
