package forwarder

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

// EvidenceKeeper keeps the evidence against refused parts of prompts and requests for instances that start later. Its methods
// do not wait for the result.
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

// checkMoved is check for a stream that has settled at another endpoint.
func (s *screening) checkMoved(now time.Time, keys []string) (screener.Ruling, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.screener.CheckMoved(now, keys)
}

// begin records that a request is sent along endpoints, and returns the number of the attempt. The function stop is
// called if the request must not run. A moved stream has settled at another endpoint.
func (s *screening) begin(now time.Time, keys []string, endpoints []string, isMoved bool, stop func()) uint64 {
	s.mu.Lock()
	number, tried := s.screener.Begin(now, keys, endpoints)
	if isMoved {
		s.screener.MarkMoved(number)
	}
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
func (s *screening) end(now time.Time, number uint64, result screener.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.screener.End(now, number, result) {
		time.AfterFunc(screener.SettleTime, s.runSettle)
	}
	delete(s.stops, number)
}

// settle handles the attempts whose result is known.
func (s *screening) settle(now time.Time) {
	s.mu.Lock()
	news := s.screener.Settle(now)
	s.mu.Unlock()
	if news.IsEmpty() {
		return
	}
	cleared := slices.Concat(news.Cleared, news.Sound)
	s.log.Info("suspicion lifted", "keys", listKeys(cleared))
	s.report(news)
	if s.keeper != nil {
		s.keeper.Drop(cleared)
	}
}

// recordLoss records that an endpoint has crashed.
func (s *screening) recordLoss(now time.Time, endpoint string) {
	s.recordCrash(now, s.screener.RecordLoss, endpoint)
}

// recordDeparture records that the process of an endpoint has ended as it had announced.
func (s *screening) recordDeparture(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.screener.RecordDeparture(now, endpoint)
}

// recordDisappearance records that the row of an endpoint has gone without an announcement.
func (s *screening) recordDisappearance(now time.Time, endpoint string) {
	s.recordCrash(now, s.screener.RecordDisappearance, endpoint)
}

// recordCrash records the crash of an endpoint by a method of the screener, and handles its report.
func (s *screening) recordCrash(now time.Time, record func(now time.Time, endpoint string) screener.Report, endpoint string) {
	s.mu.Lock()
	report := record(now, endpoint)
	stops := s.stopRefused(now, report)
	evidence := s.screener.Evidence(now, report.Crashed)
	s.mu.Unlock()
	if report.IsEmpty() {
		return
	}
	if len(report.Late) > 0 {
		time.AfterFunc(screener.ReviewTime, func() { s.review(report, evidence) })
	}
	if s.keeper != nil && len(evidence) > 0 {
		s.keeper.Keep(evidence)
	}
	s.log.Warn("endpoint crashed under requests", "endpoint", endpoint, "keys", listKeys(report.Crashed), "proven", listKeys(report.Proven), "late", len(report.Late))
	s.report(report)
	for _, stop := range stops {
		stop()
	}
}

// review handles what is refused after a report of this instance once the others have had the time to report as well, beyond what was
// refused at once.
func (s *screening) review(report screener.Report, known []screener.Evidence) {
	now := s.clock()
	isKnown := func(e screener.Evidence) bool {
		return slices.ContainsFunc(known, func(k screener.Evidence) bool { return k.Key == e.Key })
	}
	s.mu.Lock()
	evidence := slices.DeleteFunc(s.screener.Evidence(now, report.Crashed), isKnown)
	stops := s.refusedStops(now, report, evidence)
	s.mu.Unlock()
	if s.keeper != nil && len(evidence) > 0 {
		s.keeper.Keep(evidence)
	}
	for _, stop := range stops {
		stop()
	}
}

// merge records what another instance reports, and returns which of the keys under which an endpoint crashed are proven
// here.
func (s *screening) merge(now time.Time, report screener.Report) []string {
	s.mu.Lock()
	proven := s.screener.Refuted(now, report)
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

// mergeReply records another instance's reply to a report, which lists proven keys, and returns what was not known of it.
func (s *screening) mergeReply(now time.Time, report screener.Report, proven []string) screener.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.screener.DropKnown(now, report.Reply(proven))
	s.screener.Merge(now, news)
	return news
}

// stopRefused returns the functions that stop the requests that must not run after a report, and logs the keys that are
// refused. The lock is held.
func (s *screening) stopRefused(now time.Time, report screener.Report) []func() {
	if len(report.Crashed) == 0 {
		return nil
	}
	return s.refusedStops(now, report, s.screener.Evidence(now, report.Crashed))
}

// refusedStops logs the evidence after a report, and returns the functions that stop the requests that must not run. The lock is held.
func (s *screening) refusedStops(now time.Time, report screener.Report, evidence []screener.Evidence) []func() {
	for _, e := range evidence {
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
