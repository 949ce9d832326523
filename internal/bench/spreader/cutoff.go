package spreader

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// The cut-off that runs in virtual time: one instance for an hour, at the planned rate of changes.
const (
	cutLength   = time.Hour
	changesADay = 9800
	second      = time.Second
)

// Cutoff is what became of an instance that could reach neither the store nor a peer, in seconds.
type Cutoff struct {
	// Old is how long it served under a configuration that was no longer in force elsewhere.
	Old float64
	// Refused is how long it admitted nothing.
	Refused float64
}

// cutOff runs a cut-off with a bound on how long the instance serves on.
func cutOff(stale time.Duration) Cutoff {
	start := time.Unix(1_700_000_000, 0)
	f := follower.NewFollower(start, follower.WithMaxStaleness(stale))
	f.RecordHead(start, 0)
	f.ApplySnapshot(start, recorder.Snapshot{})
	var out Cutoff
	every := 24 * time.Hour / changesADay
	for passed := time.Duration(0); passed < cutLength; passed += second {
		changed := int64(passed / every)
		switch {
		case !f.Admits(start.Add(passed)):
			out.Refused += second.Seconds()
		case changed > f.ActiveEpoch:
			out.Old += second.Seconds()
		}
	}
	return out
}
