package screener

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var startTime = time.Unix(1000, 0)

// part returns the key of a part.
func part(name string) string { return PartKey("s", name) }

// begun plays a request with keys that begins on an endpoint, settles and ends whole, and returns the keys that it cleared.
func begun(s *Screener, now time.Time, keys ...string) []string {
	number, _ := s.Begin(now, keys, []string{"other"})
	s.RecordFirstEvent(now, number)
	s.End(now, number, Whole)
	return s.Settle(now.Add(SettleTime)).Cleared
}

// crashed plays requests with parts that wait for their first event on an endpoint when it crashes.
func crashed(s *Screener, now time.Time, endpoint string, requests ...[]string) Report {
	var numbers []uint64
	for _, keys := range requests {
		number, _ := s.Begin(now, keys, []string{endpoint})
		numbers = append(numbers, number)
	}
	report := s.RecordLoss(now, endpoint)
	for _, number := range numbers {
		s.End(now, number, Broken)
	}
	return report
}

// ruling returns the ruling on a request with keys.
func ruling(s *Screener, now time.Time, keys ...string) Ruling {
	r, _ := s.Check(now, keys)
	return r
}

// TestPartIsRefusedAfterCrashesWithoutAnEvent plays the crashes under a part beside parts of sound requests.
func TestPartIsRefusedAfterCrashesWithoutAnEvent(t *testing.T) {
	common, dead, rare := part("common"), part("dead"), part("rare")
	for _, c := range []struct {
		name string
		play func(s *Screener)
		// want holds the rulings on requests with the common part, also with the dead one, and with the rare one, after 3 s.
		want [3]Ruling
	}{
		{"no crash", func(*Screener) {}, [3]Ruling{Allow, Allow, Allow}},
		{"one crash of unknown parts", func(s *Screener) {
			crashed(s, startTime, "e1", []string{common, dead}, []string{rare})
		}, [3]Ruling{Trial, Trial, Trial}},
		{"one crash, common part proven before", func(s *Screener) {
			begun(s, startTime.Add(-time.Second), common)
			crashed(s, startTime, "e1", []string{common, dead}, []string{rare})
		}, [3]Ruling{Allow, Trial, Trial}},
		{"one crash, rare part begins afterwards", func(s *Screener) {
			crashed(s, startTime, "e1", []string{common, dead}, []string{rare})
			begun(s, startTime.Add(time.Second), rare)
		}, [3]Ruling{Trial, Trial, Allow}},
		{"two crashes, common part proven", func(s *Screener) {
			begun(s, startTime.Add(-time.Second), common)
			crashed(s, startTime, "e1", []string{common, dead}, []string{rare})
			crashed(s, startTime.Add(time.Second), "e2", []string{common, dead})
		}, [3]Ruling{Allow, Refuse, Trial}},
		{"two crashes of the same parts", func(s *Screener) {
			crashed(s, startTime, "e1", []string{common, dead})
			crashed(s, startTime.Add(time.Second), "e2", []string{common, dead})
		}, [3]Ruling{Trial, Refuse, Allow}},
		{"two reports of one crash", func(s *Screener) {
			crashed(s, startTime, "e1", []string{common, dead})
			s.Merge(startTime.Add(time.Second), Report{Endpoint: "e1", Crashed: []string{common, dead}})
		}, [3]Ruling{Trial, Trial, Allow}},
		{"crashes that a refused part explains", func(s *Screener) {
			begun(s, startTime.Add(-time.Second), common)
			for n := range 4 {
				crashed(s, startTime.Add(time.Duration(n)*100*time.Millisecond), fmt.Sprint("e", n), []string{common, dead})
			}
		}, [3]Ruling{Allow, Refuse, Allow}},
		{"crashes of a part that was sound before", func(s *Screener) {
			begun(s, startTime.Add(-time.Second), common)
			for n := range 3 {
				crashed(s, startTime.Add(time.Duration(n)*provenCrashGap), fmt.Sprint("e", n), []string{common})
			}
		}, [3]Ruling{Refuse, Refuse, Allow}},
		{"a request that is sent again at once", func(s *Screener) {
			crashed(s, startTime, "e1", []string{common, dead}, []string{rare})
			crashed(s, startTime.Add(time.Millisecond), "e2", []string{common, dead})
		}, [3]Ruling{Trial, Refuse, Trial}},
		{"a rack with many endpoints is lost", func(s *Screener) {
			begun(s, startTime.Add(-time.Second), common)
			for n := range 8 {
				s.Begin(startTime, []string{common}, []string{fmt.Sprint("e", n)})
				s.Begin(startTime, []string{rare}, []string{fmt.Sprint("e", n)})
			}
			for n := range 8 {
				s.RecordLoss(startTime.Add(time.Duration(n)*time.Millisecond), fmt.Sprint("e", n))
			}
		}, [3]Ruling{Allow, Allow, Trial}},
		{"endpoints crash by themselves, and no request begins", func(s *Screener) {
			parts := []string{common, rare}
			for m := range maxEqualSuspects {
				parts = append(parts, part(fmt.Sprint(m)))
			}
			for n := range parts {
				next := parts[(n+1)%len(parts)]
				crashed(s, startTime.Add(time.Duration(n)*100*time.Millisecond), fmt.Sprint("e", n), []string{parts[n]}, []string{next})
			}
		}, [3]Ruling{Trial, Trial, Trial}},
		{"crashes long ago", func(s *Screener) {
			crashed(s, startTime.Add(-crashRetention), "e1", []string{dead})
			crashed(s, startTime.Add(time.Second-crashRetention), "e2", []string{dead})
		}, [3]Ruling{Allow, Allow, Allow}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			c.play(s)
			now := startTime.Add(3 * time.Second)
			got := [3]Ruling{ruling(s, now, common), ruling(s, now, common, dead), ruling(s, now, rare)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("rulings (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOnlyOneTrialAtATime plays trials that succeed, end without a result, and crash.
func TestOnlyOneTrialAtATime(t *testing.T) {
	key := part("a")
	for _, c := range []struct {
		name string
		end  func(s *Screener, now time.Time, number uint64)
		want Ruling
	}{
		{"in progress", func(*Screener, time.Time, uint64) {}, Wait},
		{"begins", func(s *Screener, now time.Time, number uint64) {
			s.RecordFirstEvent(now, number)
			if cleared := s.Settle(now.Add(SettleTime)).Cleared; !slices.Equal(cleared, []string{key}) {
				t.Errorf("cleared %v, want the key", cleared)
			}
		}, Allow},
		{"its caller leaves", func(s *Screener, now time.Time, number uint64) { s.End(now.Add(-newsTime), number, Broken) }, Trial},
		{"crashes after the first event", func(s *Screener, now time.Time, number uint64) {
			s.RecordFirstEvent(now, number)
			s.RecordLoss(now.Add(SettleTime/2), "e2")
			s.Settle(now.Add(SettleTime))
		}, Refuse},
		{"crashes, and the news comes after the end", func(s *Screener, now time.Time, number uint64) {
			s.End(now, number, Broken)
			s.RecordLoss(now.Add(newsTime/2), "e2")
		}, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			crashed(s, startTime, "e1", []string{key})
			now := startTime.Add(time.Second)
			number, tried := s.Begin(now, []string{key}, []string{"e2"})
			if !slices.Equal(tried, []string{key}) {
				t.Errorf("tried %v, want the key", tried)
			}
			if got := ruling(s, now, key); got != Wait {
				t.Errorf("ruling during the trial: %v, want to wait", got)
			}
			c.end(s, now, number)
			if got := ruling(s, now, key); got != c.want {
				t.Errorf("ruling %v, want %v", got, c.want)
			}
		})
	}
}

// TestRefusalEndsWithATrial checks how long a part is refused after each further crash.
func TestRefusalEndsWithATrial(t *testing.T) {
	s, now, key := New(), startTime, part("a")
	crashed(s, now.Add(-crashGap), "e0", []string{key})
	for n, want := range []time.Duration{refusalTime, 2 * refusalTime, 4 * refusalTime, 8 * refusalTime, crashRetention} {
		crashed(s, now, fmt.Sprint("e", n+1), []string{key})
		if r, left := s.Check(now, []string{key}); r != Refuse || left != want {
			t.Errorf("after %d crashes: ruling %v for %v, want a refusal for %v", n+2, r, left, want)
		}
		now = now.Add(want)
		if n < 4 && ruling(s, now, key) != Trial {
			t.Errorf("no trial after %v", want)
		}
	}
}

// TestRequestInProgressIsStopped checks that requests which wait on other endpoints are named once a part is refused.
func TestRequestInProgressIsStopped(t *testing.T) {
	s, key := New(), part("a")
	waiting, _ := s.Begin(startTime, []string{key}, []string{"e3"})
	streaming, _ := s.Begin(startTime, []string{part("b")}, []string{"e3"})
	crashed(s, startTime, "e1", []string{key})
	if got := s.RefusedAttempts(startTime); len(got) > 0 {
		t.Errorf("stopped %v after one crash", got)
	}
	now := startTime.Add(crashGap)
	crashed(s, now, "e2", []string{key})
	if diff := cmp.Diff([]uint64{waiting}, s.RefusedAttempts(now)); diff != "" {
		t.Errorf("stopped, beside %d (-want +got):\n%s", streaming, diff)
	}
}

// TestEvidenceIsRestored passes evidence on to an instance that starts later, whose clock differs, and that knows more or
// less than was kept.
func TestEvidenceIsRestored(t *testing.T) {
	key := part("a")
	old := New()
	crashed(old, startTime, "e1", []string{key, RequestKey("s", "r")})
	if got := old.Evidence(startTime, []string{key}); len(got) > 0 {
		t.Errorf("evidence after one crash: %v", got)
	}
	crashed(old, startTime.Add(time.Second), "e2", []string{key, RequestKey("s", "r")})
	kept := old.Evidence(startTime.Add(time.Second), []string{RequestKey("s", "r"), key})
	want := []Evidence{{Key: key, Crashes: []Crash{{Endpoint: "e1", At: startTime}, {Endpoint: "e2", At: startTime.Add(time.Second), IsRepeat: true}}}}
	if diff := cmp.Diff(want, kept); diff != "" {
		t.Fatalf("evidence (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		name  string
		after time.Duration
		play  func(s *Screener, now time.Time)
		want  Ruling
	}{
		{"at once", time.Second, func(*Screener, time.Time) {}, Refuse},
		{"by a clock that is behind", -2 * time.Second, func(*Screener, time.Time) {}, Refuse},
		{"after the refusal", time.Second + refusalTime, func(*Screener, time.Time) {}, Trial},
		{"long after", time.Second + crashRetention, func(*Screener, time.Time) {}, Allow},
		{"begun since", 3 * time.Second, func(s *Screener, now time.Time) { begun(s, now.Add(-SettleTime), key) }, Allow},
	} {
		s, now := New(), startTime.Add(c.after)
		c.play(s, now)
		s.Restore(now, kept[0])
		if got := ruling(s, now, key); got != c.want {
			t.Errorf("%s: ruling %v, want %v", c.name, got, c.want)
		}
	}
}

// TestMemoryForKeysIsBounded begins requests with ever new parts, and crashes an endpoint under ever new requests.
func TestMemoryForKeysIsBounded(t *testing.T) {
	s, now := New(), startTime
	for n := range 3 * maxRecords {
		now = now.Add(time.Millisecond)
		begun(s, now, part(fmt.Sprint(n)), RequestKey("s", fmt.Sprint(n)))
	}
	s.Settle(now.Add(SettleTime + observationWindow)) // News of a loss may come for so long after the end of an attempt.
	if len(s.records) > maxRecords || len(s.attempts) > 0 {
		t.Errorf("%d records, want %d at most, and %d attempts", len(s.records), maxRecords, len(s.attempts))
	}
}

// TestOldSuspectsAreDropped guards against checks that take longer with each key that ever had a crash.
func TestOldSuspectsAreDropped(t *testing.T) {
	s, now := New(), startTime
	for n := range 100 {
		s.Merge(now, Report{Endpoint: "a", Crashed: []string{part(fmt.Sprint(n))}})
	}
	now = now.Add(crashRetention)
	s.Merge(now, Report{Endpoint: "b", Crashed: []string{part("last")}})
	if len(s.suspectParts) != 1 || !s.suspectParts[part("last")] {
		t.Errorf("%d suspects, want the last one alone", len(s.suspectParts))
	}
}

// TestFleetLosesFewEndpointsToAPart plays requests of a fleet, one in fifty with a part that crashes endpoints, with news between
// instances that take some ms: five endpoints are lost at most, and sound requests run.
func TestFleetLosesFewEndpointsToAPart(t *testing.T) {
	for seed := range uint64(40) {
		p := newPlay(seed)
		for p.now.Before(startTime.Add(30 * time.Second)) {
			p.step()
		}
		if p.crashes > 5 || p.crashes == 0 {
			t.Errorf("seed %d: %d endpoints crashed, want 1 to 5", seed, p.crashes)
		}
		if p.soundRefused*50 > p.soundAsked {
			t.Errorf("seed %d: %d of %d sound requests did not run", seed, p.soundRefused, p.soundAsked)
		}
		if p.taintedLate > 0 {
			t.Errorf("seed %d: %d requests with the part ran later than 3 s after the last crash", seed, p.taintedLate)
		}
	}
}

// play is a fleet with its requests in progress.
type play struct {
	random    *rand.Rand
	now       time.Time
	instances []*Screener
	running   []running
	news      []news
	// crashes counts the endpoints lost, and lastCrash is when the last one was.
	crashes                               int
	lastCrash                             time.Time
	soundAsked, soundRefused, taintedLate int
}

// running is a request that waits for its first event.
type running struct {
	instance int
	number   uint64
	endpoint string
	keys     []string
	isDeadly bool
	beginsAt time.Time
	retried  bool
}

// news is a report on its way to an instance.
type news struct {
	at     time.Time
	to     int
	report Report
}

const playInstances, playEndpoints, playFirstParts = 7, 8, 60

// newPlay returns a fleet without requests.
func newPlay(seed uint64) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, seed)), now: startTime}
	for range playInstances {
		p.instances = append(p.instances, New())
	}
	return p
}

// step plays 2 ms, in which a request comes with a probability of one in six.
func (p *play) step() {
	p.now = p.now.Add(2 * time.Millisecond)
	p.deliverNews()
	for i, s := range p.instances {
		p.tell(i, s.Settle(p.now))
	}
	if p.random.IntN(6) == 0 {
		// A few first parts are in most requests.
		first := int(float64(playFirstParts) * p.random.Float64() * p.random.Float64() * p.random.Float64())
		r := running{instance: p.random.IntN(playInstances), keys: []string{part(fmt.Sprint("first", first)), RequestKey("s", fmt.Sprint(p.now.UnixNano()))}}
		if r.isDeadly = p.random.IntN(50) == 0; r.isDeadly {
			r.keys = append(r.keys, part("dead"))
		} else {
			p.soundAsked++
		}
		p.send(r)
	}
	p.beginDue()
}

// send sends a request unless it is refused, or delays it by a few ms while another one is on trial.
func (p *play) send(r running) {
	s := p.instances[r.instance]
	switch ruling, _ := s.Check(p.now, r.keys); ruling {
	case Refuse:
		if !r.isDeadly {
			p.soundRefused++
		}
		return
	case Wait:
		r.number, r.beginsAt = 0, p.now.Add(20*time.Millisecond)
		p.running = append(p.running, r)
		return
	}
	if r.isDeadly && !p.lastCrash.IsZero() && p.now.Sub(p.lastCrash) > 3*time.Second {
		p.taintedLate++
	}
	r.endpoint = fmt.Sprint("e", p.random.IntN(playEndpoints/4), "-", p.crashes)
	var tried []string
	r.number, tried = s.Begin(p.now, r.keys, []string{r.endpoint})
	p.tell(r.instance, Report{Tried: tried})
	r.beginsAt = p.now.Add(time.Duration(40+p.random.IntN(200)) * time.Millisecond)
	p.running = append(p.running, r)
}

// beginDue begins the requests that are due. A deadly one crashes its endpoint, and the requests on it are sent once more.
func (p *play) beginDue() {
	due := p.running
	p.running = nil
	for n, r := range due {
		s := p.instances[r.instance]
		switch {
		case p.now.Before(r.beginsAt):
			p.running = append(p.running, r)
		case r.number == 0:
			p.send(r)
		case !r.isDeadly:
			s.RecordFirstEvent(p.now, r.number)
		default:
			p.running = append(p.running, due[n:]...)
			p.crash(r.endpoint)
			return
		}
	}
}

// crash ends an endpoint and the requests on it.
func (p *play) crash(endpoint string) {
	p.crashes++
	p.lastCrash = p.now
	for i, s := range p.instances {
		if report := s.RecordLoss(p.now, endpoint); len(report.Crashed) > 0 {
			p.tell(i, report)
		}
	}
	var others, hit []running
	for _, r := range p.running {
		if r.endpoint == endpoint && r.number > 0 {
			p.instances[r.instance].End(p.now, r.number, Broken)
			hit = append(hit, r)
		} else {
			others = append(others, r)
		}
	}
	p.running = others
	for _, r := range hit {
		if r.retried {
			continue
		}
		r.retried = true
		p.send(r)
	}
}

// tell sends a report to the other instances, which takes 5 to 15 ms.
func (p *play) tell(from int, report Report) {
	if report.IsEmpty() {
		return
	}
	for to := range p.instances {
		if to != from {
			p.news = append(p.news, news{p.now.Add(time.Duration(5+p.random.IntN(10)) * time.Millisecond), to, report})
		}
	}
}

// deliverNews delivers the reports that are due.
func (p *play) deliverNews() {
	p.news = slices.DeleteFunc(p.news, func(n news) bool {
		if p.now.Before(n.at) {
			return false
		}
		s := p.instances[n.to]
		s.Merge(p.now, n.report)
		for _, number := range s.RefusedAttempts(p.now) {
			s.End(p.now, number, Broken)
			p.running = slices.DeleteFunc(p.running, func(r running) bool { return r.instance == n.to && r.number == number })
		}
		return true
	})
}
