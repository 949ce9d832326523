package screener

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// crashedLate plays a request with keys whose endpoint crashes some time after its first event.
func crashedLate(s *Screener, now time.Time, endpoint string, keys ...string) Report {
	number, _ := s.Begin(now.Add(-250*time.Millisecond), keys, []string{endpoint})
	s.RecordFirstEvent(now.Add(-250*time.Millisecond), number)
	s.Settle(now)
	s.End(now, number, Broken)
	return s.RecordLoss(now, endpoint)
}

// TestRequestThatCrashesEndpointsAfterItsFirstEventIsRefused guards against a request that counts as harmless once it has begun,
// and crashes one endpoint after the other some time later. Streams that move with it must go on.
func TestRequestThatCrashesEndpointsAfterItsFirstEventIsRefused(t *testing.T) {
	deadly, beside, common := RequestKey("s", "deadly"), RequestKey("s", "beside"), part("common")
	for _, c := range []struct {
		name string
		play func(s *Screener)
		// want holds the rulings on the deadly request, on the one beside it and on another one with the common part.
		want [3]Ruling
	}{
		{"two crashes", func(s *Screener) {
			crashedLate(s, startTime, "e1", deadly, beside, common)
			crashedLate(s, startTime.Add(time.Second), "e2", deadly, beside, common)
		}, [3]Ruling{Trial, Trial, Allow}},
		{"a third one", func(s *Screener) {
			crashedLate(s, startTime, "e1", deadly, beside, common)
			crashedLate(s, startTime.Add(time.Second), "e2", deadly, beside, common)
			crashedLate(s, startTime.Add(2*time.Second), "e3", deadly, common)
		}, [3]Ruling{Refuse, Trial, Allow}},
		{"a third one, found by other instances", func(s *Screener) {
			crashedLate(s, startTime, "e1", deadly, beside, common)
			for n := range 2 {
				other := New()
				report := crashedLate(other, startTime.Add(time.Second), fmt.Sprint("e", n+2), deadly, common)
				s.Merge(startTime.Add(time.Duration(n+1)*time.Second), report)
			}
		}, [3]Ruling{Refuse, Allow, Allow}},
		{"one crash before the first event, two after it", func(s *Screener) {
			crashed(s, startTime, "e1", []string{deadly})
			crashedLate(s, startTime.Add(time.Second), "e2", deadly, common)
			crashedLate(s, startTime.Add(2*time.Second), "e3", deadly, common)
		}, [3]Ruling{Refuse, Allow, Allow}},
		{"the one beside it ends whole", func(s *Screener) {
			crashedLate(s, startTime, "e1", deadly, beside, common)
			crashedLate(s, startTime.Add(time.Second), "e2", deadly, beside, common)
			begun(s, startTime.Add(1500*time.Millisecond), beside, common)
			crashedLate(s, startTime.Add(2*time.Second), "e3", deadly, beside, common)
		}, [3]Ruling{Refuse, Allow, Allow}},
		{"the one beside it has just begun", func(s *Screener) {
			begun(s, startTime.Add(-time.Second), common)
			number, _ := s.Begin(startTime, []string{beside, common}, []string{"e1"})
			s.RecordFirstEvent(startTime, number)
			s.RecordLoss(startTime.Add(SettleTime/2), "e1")
			s.End(startTime.Add(SettleTime/2), number, Broken)
			crashed(s, startTime.Add(time.Second), "e2", []string{beside, common}, []string{deadly})
			crashed(s, startTime.Add(2*time.Second), "e3", []string{deadly})
		}, [3]Ruling{Refuse, Trial, Allow}},
		{"the one beside it is sent by many callers", func(s *Screener) {
			crashedLate(s, startTime, "e1", deadly, beside, common)
			begun(s, startTime.Add(500*time.Millisecond), beside, common)
			for n := range 4 {
				crashedLate(s, startTime.Add(time.Duration(1100+500*n)*time.Millisecond), fmt.Sprint("e", n+2), deadly, beside, common)
			}
		}, [3]Ruling{Refuse, Allow, Allow}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now := New(), startTime.Add(3*time.Second)
			c.play(s)
			got := [3]Ruling{ruling(s, now, deadly, common), ruling(s, now, beside, common), ruling(s, now, common)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("rulings (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRequestThatMakesEndpointsGoSilentIsRefused guards against a request that makes each endpoint go silent without a closed
// connection, so that only its row tells of the crash, some heartbeats later.
func TestRequestThatMakesEndpointsGoSilentIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		rowFor time.Duration
		want   Ruling
	}{
		{"silent", Broken, 4 * time.Second, Refuse},
		{"whole, and the endpoint left later", Whole, 4 * time.Second, Allow},
		{"not run, and the endpoint left later", NotRun, 4 * time.Second, Allow},
		{"broken long before the endpoint left", Broken, silenceWindow, Allow},
	} {
		s, key, common := New(), RequestKey("s", "deadly"), part("common")
		now := startTime
		for n := range lateCrashLimit {
			id := fmt.Sprint("e", n)
			number, _ := s.Begin(now, []string{key, common}, []string{id})
			s.End(now.Add(time.Second), number, c.result)
			now = now.Add(time.Second + lossWindow)
			s.Settle(now)
			now = now.Add(c.rowFor - lossWindow)
			s.Settle(now)
			s.RecordDisappearance(now, id)
			s.RecordDisappearance(now, id)
		}
		if got := ruling(s, now, key); got != c.want {
			t.Errorf("%s: ruling %v, want %v", c.name, got, c.want)
		}
		if got := ruling(s, now, common); got != Allow {
			t.Errorf("%s: ruling %v on a part", c.name, got)
		}
	}
}

// TestDepartureIsNoCrash guards against requests that are blamed for endpoints which end as announced soon after the last response.
func TestDepartureIsNoCrash(t *testing.T) {
	s, key, now := New(), RequestKey("s", "common"), startTime
	for n := range 2 * lateCrashLimit {
		id := fmt.Sprint("e", n)
		number, _ := s.Begin(now, []string{key}, []string{id})
		s.RecordFirstEvent(now, number)
		s.End(now, number, Whole)
		now = now.Add(time.Second)
		s.RecordDeparture(now, id)
		if !s.IsLost(now, id) {
			t.Errorf("%s is not known to have ended", id)
		}
	}
	if got := ruling(s, now, key); got != Allow {
		t.Errorf("ruling %v, want none", got)
	}
}

// TestRequestWithManyPartsIsRefused guards against a request that crashes endpoints and is tried for good because its prompt has so many
// parts that endpoints seem to crash by themselves.
func TestRequestWithManyPartsIsRefused(t *testing.T) {
	s, request := New(), RequestKey("s", "deadly")
	keys := []string{request}
	for n := range maxEqualSuspects + 2 {
		keys = append(keys, part(fmt.Sprint(n)))
	}
	for n, want := range []Ruling{Trial, Trial, Refuse} {
		now := startTime.Add(time.Duration(n) * time.Second)
		crashed(s, now, fmt.Sprint("e", n), keys)
		if got := ruling(s, now, request); got != want {
			t.Errorf("after %d crashes: ruling %v, want %v", n+1, got, want)
		}
	}
	now := startTime.Add(3 * time.Second)
	if got := ruling(s, now, RequestKey("s", "sound"), keys[1]); got != Trial {
		t.Errorf("another request with one of its parts: ruling %v, want a trial", got)
	}
}

// TestLossBeforeTheSettleTimeCountsAgainstParts guards against parts that are cleared by a request which its endpoint's crash
// ended shortly after its first event, when the news of the crash comes later than the settle time.
func TestLossBeforeTheSettleTimeCountsAgainstParts(t *testing.T) {
	s, now, dead := New(), startTime, part("dead")
	for n := range crashLimit {
		now = startTime.Add(time.Duration(n) * time.Second)
		number, _ := s.Begin(now, []string{dead}, []string{fmt.Sprint("e", n)})
		s.RecordFirstEvent(now, number)
		s.End(now.Add(SettleTime/2), number, Broken)
		now = now.Add(2 * SettleTime)
		s.Settle(now)
		s.RecordLoss(now, fmt.Sprint("e", n))
	}
	if got := ruling(s, now, dead); got != Refuse {
		t.Errorf("ruling %v, want a refusal", got)
	}
}
