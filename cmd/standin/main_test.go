package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRun(t *testing.T) {
	cases := []struct {
		name      string
		args      string
		code      int
		parts     []string
		errorText string
	}{
		{"no command", "", 2, nil, "standin: no command"},
		{"unknown command", "tabels", 2, nil, `standin: no command "tabels"`},
		{"unknown file", "fleet none.json", 2, nil, "standin: open none.json: no such file or directory"},
		{"no file", "fleet", 2, nil, "standin: usage: standin fleet FILE"},
		{"unexpected argument", "tables x", 2, nil, `standin: unexpected argument "x"`},
		{"invalid layers", "engine -held oak/v1/4-2", 2, nil, "not model/version/from-to"},
		{"help", "engine -h", 0, nil, "-poison"},
		{"tables", "tables -writes 400 -reads 2000", 0, []string{"tables", "control"}, ""},
		{"objects", "objects", 0, []string{"objects", "control"}, ""},
		{"instances", "instances -lag 2s", 0, []string{"instances", "control"}, ""},
		{"weights", "weights -rate 1e6 -layer 1000", 0, []string{"weights", "control"}, ""},
		{"engine", "engine -id e1 -held oak/v1/0-4 -held oak/v1/8-12 -layer 1ms", 0, []string{"e1", "control"}, ""},
		{"service", "service -id s1 -lookup -stock oak=5", 0, []string{"s1", "control"}, ""},
		{"invalid address", "objects -control 127.0.0.1:99999", 1, nil, "standin: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var out, errOut bytes.Buffer
			code := run(ctx, &out, &errOut, strings.Fields(c.args))
			var parts []string
			for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				parts = append(parts, strings.Fields(line + " -")[0])
			}
			if c.parts == nil {
				c.parts = []string{"-"}
			}
			if diff := cmp.Diff(c.parts, parts); diff != "" || code != c.code {
				t.Errorf("code %d, want %d; parts mismatch (-want +got):\n%s%s", code, c.code, diff, errOut.String())
			}
			if !strings.Contains(errOut.String(), c.errorText) {
				t.Errorf("error output %q does not contain %q", errOut.String(), c.errorText)
			}
		})
	}
}
