package screener

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The fleet of the plays: paths of two endpoints, which are back some time after a crash, under new ids.
const (
	instanceCount, endpointCount, stepTime = 4, 28, 5 * time.Millisecond
	backAfter, stabilityWindow             = 3 * time.Second, 3 * time.Second
	// resendAfter is the pause after which the caller of a deadly request sends it again, and trialPatience how long requests wait for a trial.
	resendAfter, trialPatience = time.Second, 500 * time.Millisecond
	// deadlyFrom is when deadly requests begin to come.
	deadlyFrom = 5 * time.Second
)

// moment is when a deadly request crashes the first endpoint of its path: so long after its first event, or after its last one.
type moment struct {
	delay     time.Duration
	isFromEnd bool
}

func (m moment) String() string { return fmt.Sprintf("%v after the end %v", m.delay, m.isFromEnd) }

var moments = []moment{
	{0, false}, {50 * time.Millisecond, false}, {250 * time.Millisecond, false}, {600 * time.Millisecond, false}, {1500 * time.Millisecond, false},
	{0, true}, {250 * time.Millisecond, true}, {time.Second, true}, {2 * time.Second, true},
}

// request is a request and its attempt in progress.
type request struct {
	keys             []string
	isDeadly, isSent bool
	instance, moves  int
	number           uint64
	path             [2]int
	// length is what is left of the answer, and waitsUntil when the wait for a trial ends.
	length                                 time.Duration
	dueAt, waitsUntil                      time.Time
	begunAt, endsAt, crashAt               time.Time
	isWaiting, isEnded, isGone, hasSettled bool
}

// simulation is a fleet with its requests.
type simulation struct {
	moment
	random    *rand.Rand
	now       time.Time
	instances []*Screener
	news      []news
	starts    [endpointCount]int
	backAt    [endpointCount]time.Time
	requests  []*request
	crashes   []time.Time
	// arrivals makes the requests of a step, and trouble the crashes that no request causes.
	arrivals func(s *simulation)
	trouble  func(s *simulation)
	// sent counts the deadly requests sent later than the window after the crash with the number limit, and sound, refused, late and
	// lateRefused the sound requests, also those later than twice the window after it.
	limit, sent, sound, refused, late, lateRefused, asked int
	resendAt                                              time.Time
	// deadlyEvery makes one in so many requests deadly by a part of its prompt, from deadlyFrom on.
	deadlyEvery int
}

// newSimulation returns a fleet without requests.
func newSimulation(seed uint64, m moment, limit int) *simulation {
	s := &simulation{moment: m, random: rand.New(rand.NewPCG(seed, 7)), now: startTime, limit: limit, arrivals: func(*simulation) {}, trouble: func(*simulation) {}}
	for range instanceCount {
		s.instances = append(s.instances, New())
	}
	return s
}

// play plays a time.
func (s *simulation) play(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(stepTime) {
		due := s.news
		s.news = nil
		for _, n := range due {
			if s.now.Before(n.at) {
				s.news = append(s.news, n)
				continue
			}
			refuted := s.instances[n.to].Refuted(s.now, n.report)
			s.instances[n.to].Merge(s.now, n.report)
			s.tell(n.to, s.instances[n.to].DropKnown(s.now, n.report.Reply(refuted)))
		}
		for i, screener := range s.instances {
			s.tell(i, screener.Settle(s.now))
		}
		s.arrivals(s)
		s.trouble(s)
		for _, f := range slices.Clone(s.requests) {
			s.advance(f)
		}
		s.requests = slices.DeleteFunc(s.requests, func(f *request) bool { return f.isGone })
	}
}

// isPast reports whether the crash with the number limit was so long ago.
func (s *simulation) isPast(d time.Duration) bool {
	return len(s.crashes) >= s.limit && s.now.Sub(s.crashes[s.limit-1]) > d
}

// advance plays what is due of a request.
func (s *simulation) advance(f *request) {
	screener := s.instances[f.instance]
	switch {
	case f.isGone:
	case f.isWaiting:
		s.send(f)
	case f.begunAt.IsZero() && !s.now.Before(f.dueAt):
		f.begunAt, f.endsAt = s.now, s.now.Add(f.length)
		screener.RecordFirstEvent(s.now, f.number)
		f.crashAt = f.begunAt.Add(s.delay)
		if s.isFromEnd {
			f.crashAt = f.endsAt.Add(s.delay)
		}
	}
	if f.begunAt.IsZero() || f.isGone {
		return
	}
	if f.isDeadly && !s.now.Before(f.crashAt) {
		f.crashAt = s.now.Add(time.Hour)
		s.crash(f.path[0])
	}
	if !f.isEnded && !f.begunAt.IsZero() && !s.now.Before(f.endsAt) {
		f.isEnded = true
		screener.End(s.now, f.number, Whole)
		s.leave(f)
	}
	f.isGone = f.isGone || f.isEnded && s.now.Sub(f.endsAt) > 3*time.Second
}

// add adds a request at a random instance.
func (s *simulation) add(f *request) {
	f.instance, f.waitsUntil = s.random.IntN(instanceCount), s.now.Add(trialPatience)
	if !f.isDeadly {
		s.sound++
		if s.isPast(2 * stabilityWindow) {
			s.late++
		}
	}
	s.requests = append(s.requests, f)
	s.send(f)
}

// send sends a request along a path unless it is refused.
func (s *simulation) send(f *request) {
	screener := s.instances[f.instance]
	check := screener.Check
	if f.hasSettled {
		check = screener.CheckMoved
	}
	ruling, _ := check(s.now, f.keys)
	f.isWaiting = ruling == Wait && s.now.Before(f.waitsUntil)
	if !f.isWaiting && ruling >= Wait {
		f.isGone = true
		s.leave(f)
		if !f.isDeadly {
			s.refused++
			if s.isPast(2 * stabilityWindow) {
				s.lateRefused++
			}
		}
		return
	}
	for i := range f.path {
		f.path[i] = i*endpointCount/2 + s.random.IntN(endpointCount/2)
		f.isWaiting = f.isWaiting || s.now.Before(s.backAt[f.path[i]])
	}
	if f.isWaiting {
		return
	}
	if f.isDeadly && !f.isSent && s.isPast(stabilityWindow) {
		s.sent++
	}
	f.isSent = true
	var tried []string
	f.number, tried = screener.Begin(s.now, f.keys, []string{s.id(f.path[0]), s.id(f.path[1])})
	if f.hasSettled {
		screener.MarkMoved(f.number)
	}
	s.tell(f.instance, Report{Tried: tried})
	f.begunAt, f.dueAt = time.Time{}, s.now.Add(time.Duration(30+s.random.IntN(200))*time.Millisecond)
}

// leave makes the caller of a deadly request send it again later.
func (s *simulation) leave(f *request) {
	if f.isDeadly {
		s.resendAt = s.now.Add(resendAfter)
	}
}

// id returns the id of an endpoint's present process.
func (s *simulation) id(endpoint int) string {
	return fmt.Sprint("e", endpoint, "-", s.starts[endpoint])
}

// crash ends an endpoint's process, and moves the requests on it.
func (s *simulation) crash(endpoint int) {
	if s.now.Before(s.backAt[endpoint]) {
		return
	}
	id := s.id(endpoint)
	s.crashes = append(s.crashes, s.now)
	s.starts[endpoint]++
	s.backAt[endpoint] = s.now.Add(backAfter)
	for i, screener := range s.instances {
		s.tell(i, screener.RecordLoss(s.now, id))
	}
	for _, f := range slices.Clone(s.requests) {
		if f.isGone || f.isWaiting || f.isEnded || !slices.Contains(f.path[:], endpoint) {
			continue
		}
		s.instances[f.instance].End(s.now, f.number, Broken)
		if !f.begunAt.IsZero() {
			f.length, f.hasSettled = max(stepTime, f.length-s.now.Sub(f.begunAt)), f.hasSettled || s.now.Sub(f.begunAt) >= SettleTime
		}
		f.begunAt = time.Time{}
		if f.moves++; f.moves >= 4 {
			f.isGone = true
			s.leave(f)
			continue
		}
		f.isWaiting, f.waitsUntil = true, s.now.Add(trialPatience)
	}
}

// tell sends a report to the other instances, which takes 5 to 25 ms.
func (s *simulation) tell(from int, report Report) {
	for to := range s.instances {
		if to != from && !report.IsEmpty() {
			s.news = append(s.news, news{s.now.Add(time.Duration(5+s.random.IntN(20)) * time.Millisecond), to, report})
		}
	}
}

// addSound adds sound requests, about forty a second, some of which have rare parts or are sent by many callers.
func addSound(s *simulation) {
	if s.random.IntN(5) > 0 {
		return
	}
	s.asked++
	first := int(40 * s.random.Float64() * s.random.Float64() * s.random.Float64())
	f := &request{keys: []string{RequestKey("s", fmt.Sprint(s.asked)), part(fmt.Sprint("first", first))}, length: time.Duration(200+s.random.IntN(4000)) * time.Millisecond}
	switch s.random.IntN(10) {
	case 0:
		f.keys[0] = RequestKey("s", "common")
	case 1:
		f.keys = append(f.keys, part(fmt.Sprint("rare", s.asked/20)))
	}
	if s.deadlyEvery > 0 && s.random.IntN(s.deadlyEvery) == 0 && s.now.Sub(startTime) > deadlyFrom {
		f.keys, f.isDeadly = []string{RequestKey("s", fmt.Sprint(s.asked)), f.keys[1], part("dead")}, true
	}
	s.add(f)
}

// seedCount is the number of plays of each case, and soundShare one in how many sound requests may be refused over all of them: a few are
// on no other endpoints than those that crash.
const seedCount, soundShare = 3, 1000

// TestRequestIsRefusedWhateverItsMoment guards against a request that counts as harmless by what it has shown before the moment at which
// it crashes each endpoint, and against sound streams that are refused with it.
func TestRequestIsRefusedWhateverItsMoment(t *testing.T) {
	sound, refused := 0, 0
	for _, m := range moments {
		for seed := range uint64(seedCount) {
			s := newSimulation(seed, m, 3)
			var last *request
			s.arrivals = func(s *simulation) {
				addSound(s)
				isOver := last == nil || last.isGone || last.isEnded
				if isOver && s.now.Sub(startTime) > deadlyFrom && !s.now.Before(s.resendAt) {
					last = &request{keys: []string{RequestKey("s", "deadly"), part("first0")}, length: 800 * time.Millisecond, isDeadly: true}
					s.add(last)
				}
			}
			s.play(30 * time.Second)
			if s.sent > 3 || len(s.crashes) < 3 {
				t.Errorf("%v, seed %d: %d retries ran later than %v after the third of %d crashes", m, seed, s.sent, stabilityWindow, len(s.crashes))
			}
			sound, refused = sound+s.sound, refused+s.refused
		}
	}
	if refused*soundShare > sound {
		t.Errorf("%d of %d sound requests refused", refused, sound)
	}
}

// TestPartIsRefusedWhateverItsMoment is the same for a part of prompts, beside sound requests with the other parts.
func TestPartIsRefusedWhateverItsMoment(t *testing.T) {
	for _, m := range moments {
		for seed := range uint64(seedCount) {
			s := newSimulation(seed, m, 5)
			s.arrivals, s.deadlyEvery = addSound, 20
			s.play(30 * time.Second)
			if s.sent > 3 {
				t.Errorf("%v, seed %d: %d requests with the part ran later than %v after the fifth of %d crashes", m, seed, s.sent, stabilityWindow, len(s.crashes))
			}
			if s.lateRefused*soundShare/10 > s.late {
				t.Errorf("%v, seed %d: %d of %d sound requests refused", m, seed, s.lateRefused, s.late)
			}
		}
	}
}

// TestCrashesForOtherReasonsRefuseNoRequest guards against sound requests that are refused because they were on many endpoints that
// crashed by themselves.
func TestCrashesForOtherReasonsRefuseNoRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(s *simulation)
	}{
		{"a seventh at once", func(s *simulation) {
			if at := s.now.Sub(startTime); at > deadlyFrom && at%(10*time.Second) < 200*time.Millisecond && s.random.IntN(10) == 0 {
				s.crash(s.random.IntN(endpointCount))
			}
		}},
		{"one after the other", func(s *simulation) {
			if at := s.now.Sub(startTime); at > deadlyFrom && at%(1500*time.Millisecond) == 0 {
				s.crash(int(at/(1500*time.Millisecond)) % endpointCount)
			}
		}},
		{"one again and again", func(s *simulation) {
			if at := s.now.Sub(startTime); at > deadlyFrom && at%(4*time.Second) == 0 {
				s.crash(3)
			}
		}},
		{"all at once", func(s *simulation) {
			if at := s.now.Sub(startTime); at > deadlyFrom && at%(15*time.Second) < endpointCount*stepTime {
				s.crash(int(at/stepTime) % endpointCount)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sound, refused := 0, 0
			for seed := range uint64(seedCount) {
				s := newSimulation(seed, moment{}, 1)
				s.arrivals, s.trouble = addSound, c.trouble
				s.play(30 * time.Second)
				sound, refused = sound+s.sound, refused+s.refused
				if len(s.crashes) < 5 {
					t.Errorf("seed %d: %d crashes, want more", seed, len(s.crashes))
				}
			}
			if refused*soundShare > sound {
				t.Errorf("%d of %d sound requests refused", refused, sound)
			}
		})
	}
}
