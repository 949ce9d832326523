package configurer

import (
	"fmt"
	"strings"
)

// Problem is one fault of the settings. Line and Column count from 1, columns in characters; they are 0 if the fault
// is not in a file.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	// Name is the setting at fault, or the unknown name that was given.
	Name string `json:"name,omitempty"`
	Text string `json:"text"`
	// Nearest is the known name with the smallest edit distance to an unknown one, or empty.
	Nearest string `json:"nearest,omitempty"`
}

// String returns the problem as FILE:LINE:COLUMN: NAME: TEXT.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	}
	if p.Name != "" {
		b.WriteString(p.Name + ": ")
	}
	b.WriteString(p.Text)
	if p.Nearest != "" {
		fmt.Fprintf(&b, "; did you mean %q?", p.Nearest)
	}
	return b.String()
}

// Problems is a list of problems, as an error.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	var lines []string
	for _, n := range p {
		lines = append(lines, n.String())
	}
	return strings.Join(lines, "\n")
}

// nearestName returns the known name with the smallest edit distance, or "" if that is more than half of the length.
func nearestName(name string, known []string) string {
	best, least := "", len(name)/2+1
	for _, k := range known {
		if d := editDistance(name, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// editDistance returns the edit distance of two texts in bytes (Levenshtein 1966). It keeps one row of the table of
// Wagner and Fischer.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
