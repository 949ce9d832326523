package monitor

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// runStreams runs a stream for each path, with an event every 30 ms. After 600 ms the endpoint dead fails and the
// streams through it fall silent. It returns the suspects by stream and the time from the failure to the last verdict.
func runStreams(m *Monitor, paths [][]string, dead string, until time.Duration) (map[string][]string, time.Duration) {
	for i, p := range paths {
		m.Open(start, fmt.Sprint("s", i), p, 50*time.Millisecond)
	}
	verdicts := map[string][]string{}
	var last time.Duration
	failedAt := 600 * time.Millisecond
	for at := time.Duration(0); at <= until; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(30*time.Millisecond) == 0 {
			for i, p := range paths {
				if at < failedAt || !contains(p, dead) {
					m.RecordEvent(now, fmt.Sprint("s", i))
				}
			}
		}
		if at%CheckInterval == 0 {
			for _, v := range m.Check(now) {
				m.Close(v.ID)
				verdicts[v.ID] = v.Suspects
				last = at - failedAt
			}
		}
	}
	return verdicts, last
}

// contains reports whether a path passes an endpoint.
func contains(path []string, id string) bool {
	for _, e := range path {
		if e == id {
			return true
		}
	}
	return false
}

func TestDeadEndpointIsSuspected(t *testing.T) {
	m := New()
	verdicts, took := runStreams(m, [][]string{{"a", "b"}, {"a", "c"}, {"d", "b"}, {"d", "c"}}, "b", 2*time.Second)
	want := map[string][]string{"s0": {"b"}, "s2": {"b"}}
	if diff := cmp.Diff(want, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	if took > 400*time.Millisecond {
		t.Errorf("the last verdict came %v after the failure", took)
	}
}

func TestStreamsThatStopTogetherAreReportedSoon(t *testing.T) {
	paths := [][]string{{"a", "b"}, {"a", "b"}, {"d", "b"}, {"d", "c"}, {"a", "c"}}
	verdicts, took := runStreams(New(), paths, "b", 2*time.Second)
	want := map[string][]string{"s0": {"b"}, "s1": {"b"}, "s2": {"b"}}
	if diff := cmp.Diff(want, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	// A pause counts as short up to 200 ms, and the move to another path needs some of that time.
	if took > 120*time.Millisecond {
		t.Errorf("the last verdict came %v after the failure", took)
	}
}

// TestAskedBeforeDead stops all streams through two endpoints, of which one answers probes: only the other counts as dead.
func TestAskedBeforeDead(t *testing.T) {
	m := New()
	m.ProbeBeforeDead = true
	for i := range 4 {
		m.Open(start, fmt.Sprint("s", i), []string{"a", "b"}, 0)
	}
	m.Open(start, "other", []string{"c"}, 0)
	probes := map[string]int{}
	verdicts := map[string][]string{}
	for at := time.Duration(0); at <= 320*time.Millisecond; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(30*time.Millisecond) == 0 {
			m.RecordEvent(now, "other")
			for i := range 4 {
				if at < 180*time.Millisecond {
					m.RecordEvent(now, fmt.Sprint("s", i))
				}
			}
		}
		if at%CheckInterval != 0 {
			continue
		}
		for _, e := range m.EndpointsToProbe(now) {
			probes[e]++
			m.RecordProbeResult(now, e, e == "a")
		}
		for _, v := range m.Check(now) {
			m.Close(v.ID)
			verdicts[v.ID] = v.Suspects
		}
	}
	if diff := cmp.Diff(map[string]int{"a": 1, "b": 1}, probes); diff != "" {
		t.Errorf("probes (-want +got):\n%s", diff)
	}
	want := map[string][]string{"s0": {"b"}, "s1": {"b"}, "s2": {"b"}, "s3": {"b"}}
	if diff := cmp.Diff(want, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestSlowPathIsKept pauses all streams of a path for half a second while its endpoints answer probes: none is reported.
func TestSlowPathIsKept(t *testing.T) {
	m := New()
	m.ProbeBeforeDead = true
	for i := range 5 {
		m.Open(start, fmt.Sprint("s", i), []string{"a", "b"}, 0)
	}
	m.Open(start, "other", []string{"c"}, 0)
	for at := time.Duration(0); at <= 2*time.Second; at += CheckInterval {
		now := start.Add(at)
		m.RecordEvent(now, "other")
		for i := range 5 {
			if at < 500*time.Millisecond || at > time.Second {
				m.RecordEvent(now, fmt.Sprint("s", i))
			}
		}
		for _, e := range m.EndpointsToProbe(now) {
			m.RecordProbeResult(now, e, true)
		}
		if v := m.Check(now); len(v) > 0 {
			t.Fatalf("after %v: %v", at, v)
		}
	}
}

// TestToldOfDead checks that a stream without an event yet is reported once another instance has reported an endpoint of
// its path as dead, and that this instance does not pass that report on.
func TestToldOfDead(t *testing.T) {
	m := New()
	m.ProbeBeforeDead = true
	m.Open(start, "reading", []string{"a", "b"}, 400*time.Millisecond)
	m.RecordDeadReport(start.Add(50*time.Millisecond), "b")
	if v := m.Check(start.Add(60 * time.Millisecond)); len(v) > 0 {
		t.Errorf("moved after 60 ms: %v", v)
	}
	want := []Verdict{{ID: "reading", Silent: 100 * time.Millisecond, Suspects: []string{"b"}, ExcludeSuspects: true}}
	if diff := cmp.Diff(want, m.Check(start.Add(100*time.Millisecond))); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	if got := m.UnresponsiveEndpoints(start.Add(100 * time.Millisecond)); len(got) > 0 {
		t.Errorf("the report of another instance is passed on: %v", got)
	}
}

func TestNothingSilent(t *testing.T) {
	verdicts, _ := runStreams(New(), [][]string{{"a", "b"}, {"a", "c"}}, "none", 5*time.Second)
	if len(verdicts) > 0 {
		t.Errorf("verdicts on streams in progress: %v", verdicts)
	}
}

func TestSingleStreamSuspectsItsPath(t *testing.T) {
	verdicts, _ := runStreams(New(), [][]string{{"a", "b"}}, "b", 2*time.Second)
	if diff := cmp.Diff(map[string][]string{"s0": {"a", "b"}}, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestPreemptedStreamIsNotReported pauses one stream while another continues through the same endpoint: it was preempted.
func TestPreemptedStreamIsNotReported(t *testing.T) {
	m := New()
	m.Open(start, "paused", []string{"a"}, 0)
	m.Open(start, "other", []string{"a"}, 0)
	for at := time.Duration(0); at < time.Second; at += CheckInterval {
		if at%(2*CheckInterval) == 0 {
			m.RecordEvent(start.Add(at), "other")
			if at < 200*time.Millisecond {
				m.RecordEvent(start.Add(at), "paused")
			}
		}
		if v := m.Check(start.Add(at)); len(v) > 0 {
			t.Fatalf("after %v: %v", at, v)
		}
	}
}

// TestOwnPauseReportsNothing pauses the process itself for seconds: the events wait unread.
func TestOwnPauseReportsNothing(t *testing.T) {
	m := New()
	for i := range 5 {
		m.Open(start, fmt.Sprint(i), []string{"a", "b"}, 0)
	}
	now := start
	for range 10 {
		now = now.Add(CheckInterval)
		for i := range 5 {
			m.RecordEvent(now, fmt.Sprint(i))
		}
		m.Check(now)
	}
	now = now.Add(4 * time.Second)
	if v := m.Check(now); len(v) > 0 {
		t.Errorf("after a pause of the process: %v", v)
	}
	now = now.Add(CheckInterval)
	for i := range 5 {
		m.RecordEvent(now, fmt.Sprint(i))
	}
	if v := m.Check(now); len(v) > 0 {
		t.Errorf("after the events were read: %v", v)
	}
}

func TestSilentStreamIsReportedAgain(t *testing.T) {
	m := New()
	m.Open(start, "s", []string{"a"}, 0)
	count := 0
	for at := time.Duration(0); at <= firstEventGrace+4*reportInterval; at += CheckInterval {
		count += len(m.Check(start.Add(at)))
	}
	if count != 5 {
		t.Errorf("reported %d times in four times the time between reports", count)
	}
}

func TestSilentFirstEvent(t *testing.T) {
	m := New()
	m.Open(start, "s", []string{"a"}, 100*time.Millisecond)
	var got []Verdict
	for at := time.Duration(0); at <= 2*time.Second; at += CheckInterval {
		got = append(got, m.Check(start.Add(at))...)
		if len(got) > 0 {
			break
		}
	}
	// The endpoint has passed no event before: it is not excluded for other requests.
	want := []Verdict{{ID: "s", Suspects: []string{"a"}, ExcludeSuspects: false}}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Verdict{}, "Silent")); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestStreamsOfALostProcessEndAtOnce ends the process of an endpoint: the streams through it are reported with the next
// check, before they are silent for long, and a stream that begins at a process started in its place is not.
func TestStreamsOfALostProcessEndAtOnce(t *testing.T) {
	m := New()
	m.ProbeBeforeDead = true
	m.Open(start, "before", []string{"a", "b"}, 50*time.Millisecond)
	m.Open(start, "beside", []string{"a", "c"}, 50*time.Millisecond)
	lost := start.Add(300 * time.Millisecond)
	m.RecordEvent(lost, "before")
	m.RecordEvent(lost, "beside")
	m.RecordLoss(lost, "b")
	m.Open(lost.Add(time.Millisecond), "after", []string{"a", "b"}, 50*time.Millisecond)
	want := []Verdict{{ID: "before", Silent: CheckInterval, Suspects: []string{"b"}, ExcludeSuspects: true, ProcessLost: true}}
	if diff := cmp.Diff(want, m.Check(lost.Add(CheckInterval))); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want[:0], m.Check(lost.Add(2*CheckInterval)), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("verdicts of the next check (-want +got):\n%s", diff)
	}
}

// TestChecksMayStopWithoutStreams lets checks rest until the first stream comes: the time without checks does not count as
// a pause of the process, and the stream's silence is found as soon as that of any other.
func TestChecksMayStopWithoutStreams(t *testing.T) {
	m := New()
	m.Check(start)
	now := start.Add(10 * time.Second)
	m.Open(now, "s", []string{"a"}, 50*time.Millisecond)
	limit := firstEventGrace + 100*time.Millisecond
	for at := CheckInterval; at <= limit+CheckInterval; at += CheckInterval {
		if verdicts := m.Check(now.Add(at)); len(verdicts) > 0 {
			return
		}
	}
	t.Errorf("the silence of the first stream was not found within %v", limit+CheckInterval)
}
