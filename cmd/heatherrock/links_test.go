package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// link matches the target of a link of Markdown, without its fragment.
var link = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

// TestLinks checks that each relative link of each page names a file.
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
		for _, m := range link.FindAllStringSubmatch(string(content), -1) {
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
