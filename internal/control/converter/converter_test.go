package converter

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// modelRecord returns a record of a model with the given schema version and body.
func modelRecord(schema int, body string) recorder.Record {
	return recorder.Record{Kind: recorder.KindModel, Name: "chat", Schema: schema, Body: json.RawMessage(body)}
}

func TestConvert(t *testing.T) {
	cases := []struct {
		name string
		from recorder.Record
		to   int
		want string
		err  error
	}{
		{"up", modelRecord(1, `{"adapters":["oak"],"layers":8}`), 2, `{"adapters":[{"name":"oak"}],"layers":8}`, nil},
		{"down", modelRecord(2, `{"adapters":[{"name":"oak"}],"layers":8}`), 1, `{"adapters":["oak"],"layers":8}`, nil},
		{"unknown field kept up", modelRecord(1, `{"colour":{"a":[1]}}`), 2, `{"colour":{"a":[1]}}`, nil},
		{"unknown field kept down", modelRecord(2, `{"colour":1e400}`), 1, `{"colour":1e400}`, nil},
		{"loss of versions", modelRecord(2, `{"adapters":[{"name":"oak","versions":["a"]}]}`), 1, ``, ErrLossy},
		{"loss of unknown", modelRecord(2, `{"adapters":[{"name":"oak","colour":1}]}`), 1, ``, ErrLossy},
		{"loss of stages", modelRecord(2, `{"stages":[]}`), 1, ``, ErrLossy},
		{"newer", modelRecord(3, `{}`), 2, ``, ErrUnknownSchema},
		{"zero", modelRecord(0, `{}`), 1, ``, ErrUnknownSchema},
		{"kind", recorder.Record{Kind: "lamp", Schema: 1}, 1, ``, ErrUnknownSchema},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Convert(c.from, c.to)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if diff := cmp.Diff(c.want, string(got.Body)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestOlderAndNewerReaders(t *testing.T) {
	older := Reader{HighestSchema: map[string]int{recorder.KindModel: 1}}
	newer := NewReader()
	first := modelRecord(1, `{"adapters":["oak"]}`)
	second := modelRecord(2, `{"adapters":[{"name":"oak","versions":["a"]}]}`)
	if got, err := older.Upgrade(first); err != nil || got.Schema != 1 {
		t.Errorf("older reader, older record: schema %d, %v", got.Schema, err)
	}
	if got, err := newer.Upgrade(first); err != nil || got.Schema != 2 {
		t.Errorf("newer reader, older record: schema %d, %v", got.Schema, err)
	}
	if _, err := older.Upgrade(second); !errors.Is(err, ErrUnreadable) {
		t.Errorf("older reader, newer record: %v", err)
	}
	if got, err := newer.Upgrade(second); err != nil || got.Schema != 2 {
		t.Errorf("newer reader, newer record: schema %d, %v", got.Schema, err)
	}
}
