package runner

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	before := write("before.json", `{"name":"flow","seed":1,"figures":{"share":{"value":0.8,"unit":"ratio","target":0.95}}}`)
	after := write("after.json", `{"name":"flow","seed":1,"figures":{"share":{"value":0.9,"unit":"ratio","target":0.95}}}`)
	other := write("other.json", `{"name":"fair","seed":1,"figures":{}}`)
	broken := write("broken.json", `{`)
	cases := []struct {
		name string
		args []string
		code int
		// contains is a text that the output or the error output contains.
		contains string
	}{
		{"no command", nil, exitUsage, "usage:"},
		{"unknown command", []string{"walk"}, exitUsage, `no command "walk"`},
		{"list", []string{"list"}, exitDone, "slowkind"},
		{"run without a name", []string{"run"}, exitUsage, "usage:"},
		{"run of an unknown experiment", []string{"run", "walk"}, exitUsage, `no experiment "walk"`},
		{"run with an unknown flag", []string{"run", "flow", "--sed", "1"}, exitUsage, "sed"},
		{"run with an unknown format", []string{"run", "flow", "-o", "xml"}, exitUsage, `no output format "xml"`},
		{"run without a chart", []string{"run", "fair", "--plot", "x.svg"}, exitUsage, "has no chart"},
		{"compare", []string{"compare", before, after}, exitDone, "share   0.8     0.9    +12.5%  ratio  0.95"},
		{"compare of one", []string{"compare", before}, exitUsage, "usage:"},
		{"compare of two experiments", []string{"compare", before, other}, exitUsage, "two experiments"},
		{"compare with a broken file", []string{"compare", before, broken}, exitFailed, "broken.json"},
		{"report", []string{"report", before, other}, exitDone, "| `flow` | `share` | 0.8 | 0.95 | ratio |"},
		{"report of nothing", []string{"report"}, exitUsage, "usage:"},
		{"report with a broken file", []string{"report", broken}, exitFailed, "broken.json"},
		{"compare with no file", []string{"compare", before, filepath.Join(dir, "none")}, exitFailed, "none"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Main(c.args, &out, &errs)
			if diff := cmp.Diff(c.code, code); diff != "" {
				t.Errorf("code mismatch (-want +got):\n%s", diff)
			}
			if output := out.String() + errs.String(); !strings.Contains(output, c.contains) {
				t.Errorf("output %q does not hold %q", output, c.contains)
			}
		})
	}
}
