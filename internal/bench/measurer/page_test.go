package measurer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

// docs is the directory of the pages and results.
const docs = "../../../docs"

// figurePattern matches a figure in the page: its name, with the experiment's name and a dot before it unless that is
// capacity, and its value, in a table or in running text.
var figurePattern = regexp.MustCompile("`([a-z]+\\.)?([a-z_]+)`(?: \\|)?\\s([0-9][0-9.,]*[0-9]|[0-9])")

// readResult reads the committed result of an experiment.
func readResult(t *testing.T, name string) reporter.Result {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(docs, "results", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	var r reporter.Result
	if err := json.Unmarshal(b, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestPage checks that each figure in the page has the value of a committed result file, to the digits shown, and
// that the page contains each figure with a target.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]reporter.Result{"": readResult(t, "capacity"), "planned.": readResult(t, "planned")}
	shown := map[string]bool{}
	for _, m := range figurePattern.FindAllStringSubmatch(string(page), -1) {
		shown[m[1]+m[2]] = true
		f, ok := files[m[1]].Figures[m[2]]
		if !ok {
			t.Errorf("%s%s is in no result file", m[1], m[2])
			continue
		}
		if text := strings.ReplaceAll(m[3], ",", ""); !isRounded(text, f.Value) {
			t.Errorf("%s%s: the page shows %s, the result is %v", m[1], m[2], m[3], f.Value)
		}
	}
	for prefix, r := range files {
		for name, f := range r.Figures {
			if f.Target != nil && !shown[prefix+name] {
				t.Errorf("%s%s has a target and is not in the page", prefix, name)
			}
		}
	}
}

// isRounded reports whether a text is a value rounded to the number of decimals of the text.
func isRounded(text string, value float64) bool {
	digits := 0
	if _, after, ok := strings.Cut(text, "."); ok {
		digits = len(after)
	}
	return strconv.FormatFloat(value, 'f', digits, 64) == text
}

// linkPattern matches a link to another page.
var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// TestLinks checks that the pages linked to exist.
func TestLinks(t *testing.T) {
	err := filepath.WalkDir(docs, func(name string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Ext(name) != ".md" {
			return err
		}
		text, err := os.ReadFile(name)
		for _, m := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), m[1])); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestIsRounded(t *testing.T) {
	cases := []struct {
		text  string
		value float64
		want  bool
	}{
		{"7.22", 7.2226, true}, {"7.23", 7.2226, false}, {"7", 7.2226, true}, {"8", 7.2226, false}, {"0.0107", 0.010704, true},
	}
	for _, c := range cases {
		if got := isRounded(c.text, c.value); got != c.want {
			t.Errorf("isRounded(%s, %v) = %v", c.text, c.value, got)
		}
	}
}
