package validator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// faultLines returns the text of each fault.
func faultLines(faults []Fault) []string {
	var out []string
	for _, f := range faults {
		out = append(out, f.String())
	}
	return out
}

// newRecord returns a record with the given body.
func newRecord(kind, name string, schema int, body string) recorder.Record {
	return recorder.Record{Kind: kind, Name: name, Schema: schema, Body: json.RawMessage(body)}
}

// modelBody returns the body of a valid model with some members replaced.
func modelBody(replace string) string {
	return withMembers(`{"layers":20,"versions":[{"name":"a","share":100}],"tokens":100,"first":1900,"between":43}`, replace)
}

// withMembers returns a JSON object with the members of another object added or replaced. A member that is null is
// removed.
func withMembers(object, with string) string {
	members := map[string]json.RawMessage{}
	for _, text := range []string{object, with} {
		if err := json.Unmarshal([]byte(text), &members); err != nil {
			panic(err)
		}
	}
	for label, value := range members {
		if string(value) == "null" {
			delete(members, label)
		}
	}
	out, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	return string(out)
}

// credentialHash is the credential of the test teams.
var credentialHash = strings.Repeat("ab", 32)

func TestRecord(t *testing.T) {
	call := `{"calls":[{"method":"POST","path":"/holds","deadline":%s,"retries":%s}]}`
	team := `{"credential":"` + credentialHash + `","share":1}`
	fleet := `{"queue":10,"retention":60,"writes":100,"budget":10}`
	cases := []struct {
		name   string
		record recorder.Record
		want   []string
	}{
		{"good", newRecord("model", "chat", 2, modelBody(`{}`)), nil},
		{"unknown kind", newRecord("lamp", "x", 1, `{}`),
			[]string{`lamp/x: kind: "lamp" is unknown; the kinds are [endpoint fleet model service team]`}},
		{"schema 0", newRecord("team", "x", 0, team), []string{"team/x: schema: is 0; this release reads 1 to 1"}},
		{"unknown schema", newRecord("model", "chat", 3, modelBody(`{}`)), []string{"model/chat: schema: is 3; this release reads 1 to 2"}},
		{"too large", newRecord("team", "x", 1, `"`+strings.Repeat("x", MaxBodyBytes)+`"`),
			[]string{"team/x: body: has 65538 bytes; at most 65536 are allowed"}},
		{"not JSON", newRecord("team", "x", 1, `{`), []string{"team/x: body: is not JSON"}},
		{"not an object", newRecord("team", "x", 1, `[]`), []string{"team/x: body: is a list; wants an object"}},
		{"limit of zero", newRecord("fleet", "fleet", 1, withMembers(fleet, `{"writes":0}`)),
			[]string{"fleet/fleet: body.writes: is 0; wants 1 to 1000000 transactions a second"}},
		{"bound of zero", newRecord("team", "x", 1, withMembers(team, `{"tokens":0}`)),
			[]string{"team/x: body.tokens: is 0; wants 0.001 to 1e+09 tokens a second, or nothing for no bound"}},
		{"wrong unit", newRecord("service", "s", 1, fmt.Sprintf(call, `"30s"`, "0")),
			[]string{`service/s: body.calls[0].deadline: is the text "30s"; wants a whole number of milliseconds`}},
		{"fraction", newRecord("model", "chat", 2, modelBody(`{"first":1.9}`)),
			[]string{"model/chat: body.first: is 1.9; wants a whole number of milliseconds"}},
		{"unit too small", newRecord("service", "s", 1, fmt.Sprintf(call, "30000000", "0")),
			[]string{"service/s: body.calls[0].deadline: is 30000000; wants 1 to 3600000 milliseconds"}},
		{"retries of a call that is not idempotent", newRecord("service", "s", 1, fmt.Sprintf(call, "1", "2")),
			[]string{"service/s: body.calls[0].retries: is 2 for a call that is not idempotent; wants 0"}},
		{"shares", newRecord("model", "chat", 2, modelBody(`{"versions":[{"name":"a","share":90},{"name":"a","share":20}]}`)),
			[]string{`model/chat: body.versions[1].name: "a" is given twice`,
				"model/chat: body.versions: has shares that add up to 110 percent; wants 100"}},
		{"adapter of an unknown version", newRecord("model", "chat", 2, modelBody(`{"adapters":[{"name":"oak","versions":["z"]}]}`)),
			[]string{`model/chat: body.adapters[0].versions[0]: refers to version "z", which the model has not`}},
		{"missing", newRecord("model", "chat", 2, modelBody(`{"layers":null}`)),
			[]string{"model/chat: body.layers: is missing; wants 1 to 10000 layers"}},
		{"stage twice", newRecord("model", "chat", 2, modelBody(
			`{"stages":[{"from":0,"to":12,"replicas":2},{"from":8,"to":20,"replicas":2}]}`)),
			[]string{"model/chat: body.stages[1]: gives layers 8 to 12, which model/chat body.stages[0] gives too"}},
		{"stage left out", newRecord("model", "chat", 2, modelBody(
			`{"stages":[{"from":0,"to":8,"replicas":2},{"from":12,"to":20,"replicas":2}]}`)),
			[]string{"model/chat: body.stages[1]: begins at layer 12: layers 8 to 12 are left out"}},
		{"member twice", newRecord("fleet", "fleet", 1, `{"queue":"x","queue":10,"retention":60,"writes":100,"budget":10}`),
			[]string{`fleet/fleet: body.queue: is given twice, first as "queue"`}},
		{"member twice in a list", newRecord("model", "chat", 2, modelBody(`{"versions":[{"name":"a","share":1,"Share":"x"}]}`)),
			[]string{`model/chat: body.versions[0].Share: is given twice, first as "share"`}},
		{"member in another case", newRecord("team", "x", 1, withMembers(team, `{"Priority":"x","toKens":1}`)),
			[]string{`team/x: body.Priority: is unknown; the member is written "priority"`,
				`team/x: body.toKens: is unknown; the member is written "tokens"`}},
		{"lookup that is not a path", newRecord("service", "s", 1,
			`{"calls":[{"method":"POST","path":"/holds","deadline":1,"lookup":"holds/{key}"}]}`),
			[]string{`service/s: body.calls[0].lookup: is "holds/{key}"; wants a path that begins with / and has {key} in it`}},
		{"name", newRecord("team", "a/b", 1, team), []string{`team/a/b: name: "a/b" is not a letter or digit followed by up to 126 ` +
			"letters, digits, dots, colons, dashes or underscores"}},
		{"fleet's name", newRecord("fleet", "other", 1, fleet),
			[]string{`fleet/other: name: is "other"; the one record of this kind is named "fleet"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, faultLines(CheckRecord(c.record))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReferences(t *testing.T) {
	ranges := func(name, model string, from, to int) recorder.Record {
		body := fmt.Sprintf(`{"batch":8,"progress":2000,"ranges":[{"model":%q,"from":%d,"to":%d}]}`, model, from, to)
		return newRecord("endpoint", name, 1, body)
	}
	chat := newRecord("model", "chat", 2, modelBody(`{}`))
	team := newRecord("team", "joiners", 1, `{"credential":"`+credentialHash+`","share":1,"models":["chat"],"services":["stock"]}`)
	twin := newRecord("team", "twin", 1, `{"credential":"`+strings.ToUpper(credentialHash)+`","share":1}`)
	base := recorder.Snapshot{}.With([]recorder.Record{chat}, nil)
	cases := []struct {
		name string
		put  []recorder.Record
		drop []recorder.Ref
		want []string
	}{
		{"good", []recorder.Record{ranges("big", "chat", 0, 12), ranges("small", "chat", 12, 20)}, nil, nil},
		{"layers twice", []recorder.Record{ranges("big", "chat", 0, 12), ranges("small", "chat", 10, 20)}, nil,
			[]string{"endpoint/small: body.ranges[0]: gives layers 10 to 12, which endpoint/big body.ranges[0] gives too"}},
		{"layers left out", []recorder.Record{ranges("big", "chat", 0, 12)}, nil,
			[]string{"endpoint/big: body.ranges[0]: ends at layer 12: layers 12 to 20 are left out"}},
		{"layers beyond", []recorder.Record{ranges("big", "chat", 0, 21)}, nil,
			[]string{"endpoint/big: body.ranges[0]: 0 to 21 is not a range of the 20 layers"}},
		{"absent model", []recorder.Record{ranges("big", "draft", 0, 12)}, nil,
			[]string{"endpoint/big: body.ranges[0].model: refers to model/draft, which is not in force"}},
		{"absent service", []recorder.Record{team}, nil,
			[]string{"team/joiners: body.services[0]: refers to service/stock, which is not in force"}},
		{"same credential", []recorder.Record{twin, newRecord("team", "other", 1, `{"credential":"`+credentialHash+`","share":1}`)}, nil,
			[]string{"team/twin: body.credential: is that of team/other too"}},
		{"retired while referenced", []recorder.Record{ranges("big", "chat", 0, 20)}, []recorder.Ref{chat.Ref()},
			[]string{"endpoint/big: body.ranges[0].model: refers to model/chat, which is not in force"}},
		{"retired twice", nil, []recorder.Ref{{Kind: "team", Name: "gone"}},
			[]string{"team/gone: name: no such record is in force"}},
		{"given twice", []recorder.Record{chat, chat}, nil, []string{"model/chat: name: is given twice"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, faultLines(Check(base, c.put, c.drop))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestFile(t *testing.T) {
	cases := []struct {
		name, content string
		want, notes   []string
	}{
		{"comments", "// the fleet\n{\"kind\":\"fleet\",\"name\":\"fleet\",\"schema\":1,\n" +
			"\"body\":{\"queue\":1,\"retention\":1,\"writes\":1,\"budget\":1,\"colour\":2,},}", nil,
			[]string{"fleet/fleet: body.colour: is unknown, and kept"}},
		{"malformed", "[\n{\"kind\" 1}]", []string{"f: file: hujson: line 2, column 9: invalid character '1' after object " +
			"name"}, nil},
		{"unknown member", `[{"kind":"fleet","nmae":"x"}]`, []string{`f: records[0]: json: unknown field "nmae"`}, nil},
		{"empty", `[]`, []string{"f: file: holds no record"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults, notes := CheckFile("f", []byte(c.content))
			if diff := cmp.Diff([][]string{c.want, c.notes}, [][]string{faultLines(faults), faultLines(notes)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzFile(f *testing.F) {
	f.Add([]byte(`[{"kind":"model","name":"chat","schema":1,"body":{"adapters":["oak"]}}]`))
	f.Add([]byte(`{"kind":"team","name":"x","schema":1,"body":{"credential":null}} // x`))
	f.Add([]byte(`{"kind":"fleet","name":"fleet","schema":1,"body":{"queue":1e999}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		faults, _ := CheckFile("f", content)
		for _, fault := range faults {
			if fault.Path == "" || fault.Reason == "" {
				t.Errorf("fault without path or reason: %+v", fault)
			}
		}
	})
}
