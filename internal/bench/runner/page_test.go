package runner

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMeasuresPage checks that the measures page contains the report of the committed results exactly as printed.
func TestMeasuresPage(t *testing.T) {
	const docs = "../../../docs"
	page, err := os.ReadFile(filepath.Join(docs, "MEASURES.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(docs, "results", "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := Main(append([]string{"report"}, files...), &out, &errs); code != exitDone {
		t.Fatalf("report failed: %s", errs.String())
	}
	if !strings.Contains(string(page), out.String()) {
		t.Errorf("docs/MEASURES.md does not hold the report of docs/results:\n%s", out.String())
	}
}
