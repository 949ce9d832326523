package meter

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestScrape(t *testing.T) {
	m := New("entry-1", "scot-central-a")
	m.AddCount("requests", "outcome", "completed", 3)
	m.SetGauge("epoch", 7)
	m.ObserveDuration("answer", "model", "oak", 40*time.Millisecond)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`heatherrock_requests{datacentre="scot-central-a",instance="entry-1",outcome="completed"} 3`,
		`heatherrock_epoch{datacentre="scot-central-a",instance="entry-1"} 7`,
		`heatherrock_answer_bucket{datacentre="scot-central-a",instance="entry-1",model="oak",le="0.043"} 1`,
	} {
		if diff := cmp.Diff(true, strings.Contains(w.Body.String(), want)); diff != "" {
			t.Errorf("scrape lacks %s (-want +got):\n%s", want, diff)
		}
	}
}
