package forwarder

import (
	"cmp"
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

const (
	// lossCheckTimeout bounds the check whether an endpoint is lost after a request broke off.
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

// screenKeys returns the keys of the request. The first one is that of the whole request.
func (k *call) screenKeys() []string {
	if len(k.keys) == 0 {
		k.keys = []string{screener.RequestKey(k.service, k.digest())}
		for _, part := range k.request.PromptParts {
			k.keys = append(k.keys, screener.PartKey(k.service, part))
		}
	}
	return k.keys
}

// checkKeys returns the ruling on the request at now, and the time after which a refused one may be tried.
func (k *call) checkKeys(now time.Time) (screener.Ruling, time.Duration) {
	return k.forwarder.screening.check(now, k.screenKeys())
}

// checkKeys returns the ruling on the stream. Once an endpoint has lasted after its first event, the parts of its prompt have shown that
// they crash no endpoint which begins to answer.
func (s *streamCall) checkKeys(now time.Time) (screener.Ruling, time.Duration) {
	if s.hasSettled {
		return s.forwarder.screening.checkMoved(now, s.screenKeys())
	}
	return s.call.checkKeys(now)
}

// awaitRuling waits while another request with a key of the request is on trial, and returns the ruling that a check gives on the
// request: it is Wait if the result is not known in time. A request that must not be sent may be tried after the returned time.
func (k *call) awaitRuling(check func(now time.Time) (screener.Ruling, time.Duration)) (screener.Ruling, time.Duration) {
	now := k.forwarder.clock()
	end := now.Add(cmp.Or(k.route.FirstByteTarget, maxTrialWait))
	for {
		ruling, retryAfter := check(now)
		if ruling != screener.Wait {
			return ruling, retryAfter
		}
		if !now.Before(end) || !k.sleep(trialCheckInterval) {
			return screener.Wait, trialRetryAfter
		}
		now = k.forwarder.clock()
	}
}

// screenResults holds what the results of attempts say of an endpoint.
var screenResults = map[attemptResult]screener.Result{answered: screener.Whole, lost: screener.Broken}

// endScreening records the end of the attempt in progress.
func (s *streamCall) endScreening(result attemptResult) {
	now := s.forwarder.clock()
	s.hasSettled = s.hasSettled || !s.begunAt.IsZero() && now.Sub(s.begunAt) >= screener.SettleTime
	s.begunAt = time.Time{}
	s.forwarder.screening.end(now, s.screenNumber, screenResults[result])
}

// isSuspect reports whether the stream must not be sent, and answers its caller if so.
func (s *streamCall) isSuspect() bool {
	ruling, retryAfter := s.checkKeys(s.forwarder.clock())
	if ruling != screener.Refuse {
		return false
	}
	s.giveUpAfter(reasonSuspect, retryAfter)
	return true
}

// awaitTrial waits while another request with a key of the stream is on trial, and reports whether the stream may be sent along a
// path. If not, it has given up the path and answered the caller.
func (s *streamCall) awaitTrial(path reserver.Path) bool {
	ruling, retryAfter := s.awaitRuling(s.checkKeys)
	if reason, ok := refusalReasons[ruling]; ok {
		s.dropPath(path)
		s.giveUpAfter(reason, retryAfter)
		return false
	}
	return true
}

// checkLoss finds out whether an endpoint is lost on which the request broke off. The endpoint may not be watched yet, and the news of those that watch it may take longer than this.
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
