package spreader

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// A simulated cut-off: one instance for an hour, at the planned rate of configuration changes.
const (
	cutoffDuration = time.Hour
	changesPerDay  = 9800
	cutoffStep     = time.Second
)

// Cutoff is the effect of a cut-off on an instance that could reach neither the store nor a peer.
type Cutoff struct {
	// OldSeconds is how long it served under a configuration that was no longer in force elsewhere.
	OldSeconds float64
	// RefusedSeconds is how long it admitted no request.
	RefusedSeconds float64
}

// runCutoff simulates a cut-off of an instance that may serve on for maxStaleness.
func runCutoff(maxStaleness time.Duration) Cutoff {
	start := time.Unix(1_700_000_000, 0)
	f := follower.NewFollower(start, follower.WithMaxStaleness(maxStaleness))
	f.RecordHead(start, 0)
	f.ApplySnapshot(start, recorder.Snapshot{})
	var out Cutoff
	changeInterval := 24 * time.Hour / changesPerDay
	for elapsed := time.Duration(0); elapsed < cutoffDuration; elapsed += cutoffStep {
		currentEpoch := int64(elapsed / changeInterval)
		switch {
		case !f.Admits(start.Add(elapsed)):
			out.RefusedSeconds += cutoffStep.Seconds()
		case currentEpoch > f.ActiveEpoch:
			out.OldSeconds += cutoffStep.Seconds()
		}
	}
	return out
}
