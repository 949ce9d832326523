package spreader

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestExplore(t *testing.T) {
	const histories = 300
	got, err := ExploreHistories(1, histories)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", got)
	faults := []int{got.Reversions, got.Divergent, got.Misreported, got.Behind}
	if diff := cmp.Diff([]int{0, 0, 0, 0}, faults); diff != "" {
		t.Error(diff)
	}
	if got.Epochs < histories || got.Applied < histories {
		t.Errorf("too little happened: %+v", got)
	}
	again, err := ExploreHistories(1, histories)
	if diff := cmp.Diff(got, again); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
