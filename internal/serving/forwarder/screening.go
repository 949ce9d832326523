package forwarder

import (
	"cmp"
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

// EvidenceKeeper keeps the evidence against refused parts of prompts and requests for instances that start later. Its methods do not wait
// for the result.
type EvidenceKeeper interface {
	// Keep keeps evidence, and Drop drops what is kept of keys that are cleared.
	Keep(evidence []screener.Evidence)
	Drop(keys []string)
}

// screening applies the rulings of a Screener to the requests in progress. Its methods may be called from any goroutine.
type screening struct {
	log   *slog.Logger
	clock func() time.Time
	// report passes what the other instances are to be told on to them. It does not wait for them.
	report func(screener.Report)
	// keeper is nil if no evidence is kept.
	keeper EvidenceKeeper

	mu       sync.Mutex
	screener *screener.Screener
	// stops holds, by the number of an attempt, the function that stops it.
	stops map[uint64]func()
}

// newScreening returns a screening that knows of no crash.
func newScreening() *screening {
	return &screening{
		log: slog.New(slog.DiscardHandler), clock: time.Now, report: func(screener.Report) {}, screener: screener.New(), stops: map[uint64]func(){},
	}
}

// check returns the ruling on a request with keys, and the time after which a refused one may be tried.
func (s *screening) check(now time.Time, keys []string) (screener.Ruling, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.screener.Check(now, keys)
}

// begin records that a request is sent along endpoints, and returns the number of the attempt. The function stop is
// called if the request must not run.
func (s *screening) begin(now time.Time, keys []string, endpoints []string, stop func()) uint64 {
	s.mu.Lock()
	number, tried := s.screener.Begin(now, keys, endpoints)
	if number > 0 {
		s.stops[number] = stop
	}
	s.mu.Unlock()
	if len(tried) > 0 {
		s.log.Info("suspect tried", "keys", listKeys(tried))
		s.report(screener.Report{Tried: tried})
	}
	return number
}

// recordFirstEvent records the first event of an attempt.
func (s *screening) recordFirstEvent(now time.Time, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.screener.RecordFirstEvent(now, number) {
		// Others wait for the result of a trial, also if no request follows that would settle it.
		time.AfterFunc(screener.SettleTime, s.runSettle)
	}
}

// runSettle handles the attempts whose result is known now.
func (s *screening) runSettle() { s.settle(s.clock()) }

// end records the end of an attempt.
func (s *screening) end(now time.Time, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.screener.End(now, number)
	delete(s.stops, number)
}

// settle handles the attempts whose result is known.
func (s *screening) settle(now time.Time) {
	s.mu.Lock()
	cleared := s.screener.Settle(now)
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.log.Info("suspicion lifted", "keys", listKeys(cleared))
		s.report(screener.Report{Cleared: cleared})
		if s.keeper != nil {
			s.keeper.Drop(cleared)
		}
	}
}

// recordLoss records that an endpoint has crashed.
func (s *screening) recordLoss(now time.Time, endpoint string) {
	s.mu.Lock()
	report := s.screener.RecordLoss(now, endpoint)
	stops := s.stopRefused(now, report)
	evidence := s.screener.Evidence(now, report.Crashed)
	s.mu.Unlock()
	if report.IsEmpty() {
		return
	}
	if s.keeper != nil && len(evidence) > 0 {
		s.keeper.Keep(evidence)
	}
	s.log.Warn("endpoint crashed under requests", "endpoint", endpoint, "keys", listKeys(report.Crashed), "proven", listKeys(report.Proven))
	s.report(report)
	for _, stop := range stops {
		stop()
	}
}

// merge records what another instance reports, and returns which of the keys under which an endpoint crashed are proven
// here.
func (s *screening) merge(now time.Time, report screener.Report) []string {
	s.mu.Lock()
	proven := s.screener.Proven(now, report.Crashed)
	s.screener.Merge(now, report)
	stops := s.stopRefused(now, report)
	s.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	return proven
}

// restore records evidence that was kept.
func (s *screening) restore(now time.Time, e screener.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.screener.Restore(now, e)
}

// evidence returns the evidence against all keys that are refused.
func (s *screening) evidence(now time.Time) []screener.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.screener.AllEvidence(now)
}

// isLost reports whether the loss of an endpoint is known.
func (s *screening) isLost(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.screener.IsLost(now, endpoint)
}

// proven returns those of the keys with which a request is known to have begun.
func (s *screening) proven(now time.Time, keys []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.screener.Proven(now, keys)
}

// stopRefused returns the functions that stop the requests that must not run after a report, and logs the keys that are
// refused. The lock is held.
func (s *screening) stopRefused(now time.Time, report screener.Report) []func() {
	if len(report.Crashed) == 0 {
		return nil
	}
	for _, e := range s.screener.Evidence(now, report.Crashed) {
		s.log.Warn("requests refused", "keys", e.Key, "endpoint", report.Endpoint, "crashes", len(e.Crashes))
	}
	var out []func()
	for _, number := range s.screener.RefusedAttempts(now) {
		if stop := s.stops[number]; stop != nil {
			out = append(out, stop)
		}
	}
	return out
}

// maxKeysLogged bounds the keys in a log line.
const maxKeysLogged = 16

// listKeys formats keys for the log.
func listKeys(keys []string) string {
	if n := len(keys) - maxKeysLogged; n > 0 {
		return strings.Join(keys[:maxKeysLogged], ",") + " and " + strconv.Itoa(n) + " more"
	}
	return strings.Join(keys, ",")
}

// suspects returns the number of keys under which endpoints have crashed, and how many of them are refused.
func (s *screening) suspects(now time.Time) (suspected, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.screener.Suspects(now)
}

const (
	// lossCheckTimeout bounds the check whether an endpoint is lost after a request broke off before its response began.
	lossCheckTimeout = 40 * time.Millisecond
	// trialCheckInterval is the time between two checks whether the trial of a suspect has ended.
	trialCheckInterval = 20 * time.Millisecond
	// maxTrialWait is how long a request waits for a trial if its route has no target.
	maxTrialWait = time.Second
	// trialRetryAfter is the least retry delay stated if a request has waited for a trial in vain.
	trialRetryAfter = time.Second
)

// reasonSuspect is the reason for which a request is refused that may crash endpoints.
const reasonSuspect = "requests like it crash endpoints"

// refusalReasons holds the reasons for which requests must not be sent, by ruling.
var refusalReasons = map[screener.Ruling]string{screener.Refuse: reasonSuspect, screener.Wait: "a request like it is on trial"}

// screenKeys returns the keys of the request.
func (k *call) screenKeys() []string {
	if len(k.keys) == 0 {
		k.keys = []string{screener.RequestKey(k.service, k.digest())}
		for _, part := range k.request.PromptParts {
			k.keys = append(k.keys, screener.PartKey(k.service, part))
		}
	}
	return k.keys
}

// screenKeys returns the keys of a stream. A stream that has begun has none: it has shown that it crashes no endpoint.
func (s *streamCall) screenKeys() []string {
	if s.eventCount > 0 || s.request.LastEventID != "" {
		return nil
	}
	return s.call.screenKeys()
}

// awaitRuling waits while another request with one of the keys is on trial, and returns the ruling on the request: it is Wait if
// the result is not known in time. A request that must not be sent may be tried after the returned time.
func (k *call) awaitRuling(keys []string) (screener.Ruling, time.Duration) {
	now := k.forwarder.clock()
	end := now.Add(cmp.Or(k.route.FirstByteTarget, maxTrialWait))
	for {
		ruling, retryAfter := k.forwarder.screening.check(now, keys)
		if ruling != screener.Wait {
			return ruling, retryAfter
		}
		if !now.Before(end) || !k.sleep(trialCheckInterval) {
			return screener.Wait, trialRetryAfter
		}
		now = k.forwarder.clock()
	}
}

// isSuspect reports whether the stream must not be sent, and answers its caller if so.
func (s *streamCall) isSuspect() bool {
	ruling, retryAfter := s.forwarder.screening.check(s.forwarder.clock(), s.screenKeys())
	if ruling != screener.Refuse {
		return false
	}
	s.giveUpAfter(reasonSuspect, retryAfter)
	return true
}

// awaitTrial waits while another request with a key of the stream is on trial, and reports whether the stream may be
// sent. If not, it has answered the caller.
func (s *streamCall) awaitTrial() bool {
	ruling, retryAfter := s.awaitRuling(s.screenKeys())
	if reason, ok := refusalReasons[ruling]; ok {
		s.giveUpAfter(reason, retryAfter)
		return false
	}
	return true
}

// checkLoss finds out whether an endpoint is lost on which the request broke off before its response began. The endpoint may not
// be watched yet, and the news of those that watch it may take longer than this.
func (k *call) checkLoss(id, address string) {
	if k.forwarder.checkLoss == nil || k.isStopped.Load() || k.forwarder.screening.isLost(k.forwarder.clock(), id) {
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, lossCheckTimeout)
	defer cancel()
	k.forwarder.checkLoss(ctx, id, address)
}

// sleep waits for a time, and returns false if the request's context ends first.
func (k *call) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-k.ctx.Done():
		return false
	}
}

// stopAttempt returns the function that stops an attempt of a request that must not run.
func (k *call) stopAttempt(cancel context.CancelFunc) func() {
	return func() {
		k.isStopped.Store(true)
		cancel()
	}
}
