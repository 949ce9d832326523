package soaker

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// The bounds of the restorations of the store that are drawn.
const (
	// maxCopyAge is the age of the oldest copy that the store comes back from, and maxOutage the longest time that it is away before.
	maxCopyAge = 8 * time.Second
	maxOutage  = 2 * time.Second
	// maxRewriteDelay is the time in which the operator and the endpoints write again what the store has lost.
	maxRewriteDelay = 2 * time.Second
	// meanRestoreInterval is the mean time between two copies.
	meanRestoreInterval = 6 * time.Second
)

// planRestores draws the restorations of a run.
func planRestores(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	draw := func(most time.Duration) time.Duration { return time.Duration(r.Float64() * float64(most)) }
	var out []Fault
	for at := quietTime; ; {
		at += time.Duration(r.ExpFloat64() * float64(meanRestoreInterval))
		f := Fault{Kind: StoreRestore, StartAfter: at, CopyAge: draw(maxCopyAge), ActiveTime: draw(maxOutage), RewriteDelay: draw(maxRewriteDelay)}
		if f.StartAfter+f.CopyAge+f.ActiveTime+f.RewriteDelay > length-quietTime {
			return out
		}
		out = append(out, f)
	}
}

// restoreStore copies the store and lets it come back from the copy after some time. It returns when the store went away.
func (s *soak) restoreStore(f Fault) time.Time {
	c := s.platform.Store.Snapshot()
	time.Sleep(f.CopyAge)
	from := time.Now()
	s.platform.Store.SetFaults(hoster.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(f.ActiveTime)
	lost := s.platform.Store.Restore(c)
	s.platform.Store.SetFaults(hoster.Faults{})
	time.Sleep(f.RewriteDelay)
	s.platform.Store.Rewrite(lost)
	return from
}
