package isolator

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

var start = time.Unix(1000, 0)

// pairedPublisher delivers what one isolator publishes to another.
type pairedPublisher struct {
	peer        *Isolator
	urgentCount int
}

func (p *pairedPublisher) Publish(_ string, value []byte, _ time.Duration) {
	if err := p.peer.MergeCase(start, value); err != nil {
		panic(err)
	}
}

func (p *pairedPublisher) Urgent(key string, value []byte, ttl time.Duration) {
	p.urgentCount++
	p.Publish(key, value, ttl)
}

func (p *pairedPublisher) Ask(value []byte) bool {
	objects, err := p.peer.RecordTrial(start, value)
	if err != nil {
		panic(err)
	}
	return objects
}

// TestOtherInstanceRefuses checks that a second instance applies the crashes and trials of a request on the first.
func TestOtherInstanceRefuses(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	fromFirst, fromSecond := &pairedPublisher{}, &pairedPublisher{}
	a := New(quarantiner.New(), fromFirst, log)
	b := New(quarantiner.New(), fromSecond, log)
	fromFirst.peer, fromSecond.peer = b, a
	const fingerprint = quarantiner.Fingerprint(7)
	steps := []struct {
		name string
		do   func()
		want quarantiner.Ruling
	}{
		{"no case", func() {}, quarantiner.Allow},
		{"crash on the first instance", func() { a.RecordCrash(start, fingerprint, "x") }, quarantiner.Trial},
		{"trial on the first instance", func() { a.BeginTrial(start, fingerprint, []string{"y"}) }, quarantiner.Wait},
		{"crash on trial", func() { a.RecordCrash(start, fingerprint, "y") }, quarantiner.Refuse},
		{"late clearance", func() { a.Clear(start, fingerprint) }, quarantiner.Refuse},
	}
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, b.Check(start, fingerprint)); diff != "" {
			t.Errorf("%s: second instance mismatch (-want +got):\n%s", s.name, diff)
		}
	}
	if diff := cmp.Diff(2, fromFirst.urgentCount); diff != "" {
		t.Errorf("urgent publications mismatch (-want +got):\n%s", diff)
	}
	if a.MergeCase(start, []byte("{")) == nil {
		t.Error("a case that cannot be decoded gave no error")
	}
}
