package isolator

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

var start = time.Unix(1000, 0)

// wire passes what one isolator publishes on to another.
type wire struct {
	to     *Isolator
	urgent int
}

func (w *wire) Publish(_ string, value []byte, _ time.Duration) {
	if err := w.to.Take(start, value); err != nil {
		panic(err)
	}
}

func (w *wire) Urgent(key string, value []byte, ttl time.Duration) {
	w.urgent++
	w.Publish(key, value, ttl)
}

func (w *wire) Ask(value []byte) bool {
	objects, err := w.to.Object(start, value)
	if err != nil {
		panic(err)
	}
	return objects
}

// TestOtherInstanceRefuses follows one request and its resends over two instances.
func TestOtherInstanceRefuses(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	first, second := &wire{}, &wire{}
	a := New(quarantiner.New(), first, log)
	b := New(quarantiner.New(), second, log)
	first.to, second.to = b, a
	const poison = quarantiner.Fingerprint(7)
	steps := []struct {
		name string
		do   func()
		want quarantiner.Ruling
	}{
		{"nothing known", func() {}, quarantiner.Allow},
		{"crash on the first instance", func() { a.Crash(start, poison, "x") }, quarantiner.Trial},
		{"trial on the first instance", func() { a.Open(start, poison, []string{"y"}) }, quarantiner.Wait},
		{"crash on trial", func() { a.Crash(start, poison, "y") }, quarantiner.Refuse},
		{"clearance that comes late", func() { a.Clear(start, poison) }, quarantiner.Refuse},
	}
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, b.Check(start, poison)); diff != "" {
			t.Errorf("%s: second instance mismatch (-want +got):\n%s", s.name, diff)
		}
	}
	if diff := cmp.Diff(2, first.urgent); diff != "" {
		t.Errorf("urgent mismatch (-want +got):\n%s", diff)
	}
	if a.Take(start, []byte("{")) == nil {
		t.Error("a case that cannot be read gave no error")
	}
}
