package crosser

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// request is one request of a caller.
type request struct {
	fleet     *fleet
	instance  *instance
	centre    int
	arrivedAt time.Duration
	counts    bool
	attempts  int
	// attemptAt is when the present attempt of the caller arrived.
	attemptAt, sentAt time.Duration
	avoid             map[string]bool
	sends             int
	path              reserver.Path
	isLate            bool
	lastEvent         time.Duration
	tokens            int
}

// attempt sends the request to an instance of its data centre.
func (q *request) attempt() {
	f := q.fleet
	q.attempts++
	q.attemptAt, q.avoid, q.sends = f.now, map[string]bool{}, 0
	for q.instance = nil; q.instance == nil || q.instance.centre != q.centre; {
		q.instance = f.instances[f.random.IntN(len(f.instances))]
	}
	q.acquire()
}

// acquire waits for a path.
func (q *request) acquire() {
	f := q.fleet
	path, refusal := q.instance.reserver.Reserve(f.time(), reserver.PathRequest{
		PromptTokens: f.engine.UsualPromptTokens, AnswerTokens: f.engine.UsualAnswerTokens, Avoid: q.avoid,
	})
	switch {
	case refusal == reserver.Granted:
		q.send(path)
	case f.now-q.attemptAt < maxWait:
		f.after(queueInterval, q.acquire)
	default:
		q.refuse()
	}
}

// refuse tells the caller to come back, once.
func (q *request) refuse() {
	if q.attempts == 1 {
		q.fleet.after(retryAfter, q.attempt)
		return
	}
	q.count(func(o *Outcome) { o.Refused++ })
}

// count counts the outcome of a request.
func (q *request) count(add func(o *Outcome)) {
	if q.counts {
		add(&q.fleet.result.Centres[q.centre])
	}
}

// needed returns the memory that the request has in use at a stage on average: it grows with the answer.
func (q *request) needed(s reserver.Stage) float64 {
	return float64((q.fleet.engine.UsualPromptTokens + q.fleet.engine.UsualAnswerTokens/2) * s.Range.Len())
}

// release gives up the path.
func (q *request) release() {
	q.instance.reserver.MarkPromptRead(q.path)
	q.instance.reserver.Release(q.path)
}

// send sends the request along a path.
func (q *request) send(path reserver.Path) {
	f := q.fleet
	q.path, q.sentAt = path, f.now
	q.sends++
	f.sends++
	if len(path.Crossings) > 0 && f.linkShare() <= 0 {
		f.after(unreachedTime, q.failUnreached)
		return
	}
	for _, s := range path.Stages {
		if f.used[s.Endpoint.ID]+q.needed(s) > f.memory(s.Endpoint) {
			q.overfill(s)
			return
		}
	}
	for _, s := range path.Stages {
		f.used[s.Endpoint.ID] += q.needed(s)
	}
	at := f.now
	from := q.instance.reserver.DataCentre
	for i, s := range path.Stages {
		for _, c := range path.Crossings {
			if c.To == s.Endpoint.DataCentre && from != c.To && c.IsFirst == (i == 0) {
				at += f.crossingTime(at, c)
				q.countCrossing(c.MB(), c.IsFirst)
				break
			}
		}
		from = s.Endpoint.DataCentre
		id := s.Endpoint.ID
		f.readUntil[id] = max(at, f.readUntil[id]) + f.engine.ReadTime(f.engine.Cards[s.Endpoint.Card], s.Range.Len(), path.PromptTokens)
		at = f.readUntil[id]
	}
	f.after(at-f.now, q.begin)
}

// countCrossing counts what a hop carries.
func (q *request) countCrossing(mb float64, isFirst bool) {
	q.fleet.result.CrossedMB += mb
	if isFirst {
		q.count(func(o *Outcome) { o.Left++ })
	} else {
		q.fleet.result.Hops++
	}
}

// overfill ends an attempt that an endpoint refused for want of memory, and begins another one.
func (q *request) overfill(s reserver.Stage) {
	f := q.fleet
	q.release()
	f.result.Overfilled++
	q.instance.reserver.BackOff(f.time(), f.time().Add(500*time.Millisecond), s.Endpoint.ID)
	q.sendAgain()
}

// sendAgain begins another attempt if the budget for retries allows it.
func (q *request) sendAgain() {
	f := q.fleet
	if q.sends >= maxSends || float64(f.retries) >= retrySlack+retryShare*float64(f.sends) {
		q.refuse()
		return
	}
	f.retries++
	q.acquire()
}

// failUnreached ends an attempt whose first endpoint was not reached, as the forwarder does, and begins another one.
func (q *request) failUnreached() {
	f := q.fleet
	q.release()
	f.result.Unreached++
	e := q.path.Stages[0].Endpoint
	for _, c := range q.path.Crossings {
		q.instance.reserver.Spiller.RecordFailure(f.time(), c.To, e.ID)
	}
	q.instance.reserver.Suspect(f.time(), f.time().Add(2*time.Second), e.ID)
	q.avoid[e.ID] = true
	// Nothing was sent: this does not count against the budget.
	if q.sends >= maxSends {
		q.refuse()
		return
	}
	q.acquire()
}

// begin delivers the first event.
func (q *request) begin() {
	f := q.fleet
	q.instance.reserver.RecordFirstEvent(f.time(), q.path, f.now-q.sentAt)
	q.instance.reserver.MarkPromptRead(q.path)
	q.path.PromptTokens = 0
	q.isLate = f.now-q.arrivedAt > firstEventTarget
	for _, s := range q.path.Stages {
		f.running[s.Endpoint.ID]++
	}
	q.lastEvent = f.now
	f.after(q.eventTime(), q.deliver)
}

// eventTime returns the time of the next event.
func (q *request) eventTime() time.Duration {
	f := q.fleet
	sum := time.Duration(0)
	for _, s := range q.path.Stages {
		sum += f.engine.StepTime(f.engine.Cards[s.Endpoint.Card], s.Range.Len(), f.running[s.Endpoint.ID]) + 200*time.Microsecond
	}
	for _, c := range q.path.Crossings {
		if !c.IsFirst {
			sum += 300*time.Microsecond + time.Duration(c.TokenMB/f.engine.LinkMBPerSecond/max(0.01, f.linkShare())*float64(time.Second))
		}
	}
	return time.Duration(f.engine.TokensPerEvent) * sum
}

// deliver delivers a further event, and ends the request with the last one.
func (q *request) deliver() {
	f := q.fleet
	q.isLate = q.isLate || f.now-q.lastEvent > pauseTarget
	q.lastEvent = f.now
	if q.tokens += f.engine.TokensPerEvent; q.tokens < f.engine.UsualAnswerTokens {
		f.after(q.eventTime(), q.deliver)
		return
	}
	for _, s := range q.path.Stages {
		f.running[s.Endpoint.ID]--
		f.used[s.Endpoint.ID] -= q.needed(s)
	}
	q.instance.reserver.Release(q.path)
	q.count(func(o *Outcome) {
		if q.isLate {
			o.Late++
		} else {
			o.InTime++
		}
	})
}
