package reporter

import (
	"fmt"
	"io"
)

// WriteTable writes the figures of results that have a target as a table in Markdown, in the order of the results and
// of the figures' names. The error is that of the writer.
func WriteTable(w io.Writer, results []Result) error {
	if _, err := fmt.Fprint(w, "| experiment | figure | value | target | unit |\n| --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, r := range results {
		for _, name := range r.Names() {
			f := r.Figures[name]
			if f.Target == nil {
				continue
			}
			_, err := fmt.Fprintf(w, "| `%s` | `%s` | %s | %s | %s |\n", r.Name, name, formatValue(f.Value), f.formatTarget(), f.Unit)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
