package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// linkTarget matches the target of a Markdown link, without its fragment.
var linkTarget = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

// TestLinks checks that each relative link in each Markdown page points to an existing file.
func TestLinks(t *testing.T) {
	pages := 0
	err := filepath.WalkDir("../..", func(page string, e fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(page) != ".md" {
			return err
		}
		pages++
		content, err := os.ReadFile(page)
		if err != nil {
			return err
		}
		for _, m := range linkTarget.FindAllStringSubmatch(string(content), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: link to %s: %v", page, m[1], err)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if pages == 0 {
		t.Error("no page was found")
	}
}
