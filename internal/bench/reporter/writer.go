package reporter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Names returns the names of the figures in order.
func (r Result) Names() []string {
	return slices.Sorted(maps.Keys(r.Figures))
}

// WriteJSON writes a result as one JSON object.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes a result as a table.
func (r Result) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, seed %d\n", r.Name, r.Seed)
	fmt.Fprintln(table, "figure\tvalue\tunit\ttarget")
	for _, name := range r.Names() {
		f := r.Figures[name]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", name, formatValue(f.Value), f.Unit, f.formatTarget())
	}
	return table.Flush()
}

// Read reads a result that WriteJSON wrote.
func Read(r io.Reader) (Result, error) {
	var result Result
	err := json.NewDecoder(r).Decode(&result)
	return result, err
}

// Compare writes two results of one experiment side by side, with the change from the first to the second in percent.
// A figure that one of them lacks has a dash.
func Compare(w io.Writer, before, after Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, seeds %d and %d\n", cmp.Or(after.Name, before.Name), before.Seed, after.Seed)
	fmt.Fprintln(table, "figure\tbefore\tafter\tchange\tunit\ttarget")
	names := append(before.Names(), after.Names()...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		b, inBefore := before.Figures[name]
		a, inAfter := after.Figures[name]
		row := [3]string{"-", "-", "-"}
		if inBefore {
			row[0] = formatValue(b.Value)
		}
		if inAfter {
			row[1] = formatValue(a.Value)
		}
		if inBefore && inAfter && b.Value != 0 {
			row[2] = fmt.Sprintf("%+.1f%%", (a.Value/b.Value-1)*100)
		}
		figure := a
		if !inAfter {
			figure = b
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", name, row[0], row[1], row[2], figure.Unit, figure.formatTarget())
	}
	return table.Flush()
}

// formatValue returns a value with four significant digits, or with all digits before the point if there are more.
func formatValue(value float64) string {
	if math.Abs(value) >= minWholeNumber {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 4, 64)
}

// minWholeNumber is the absolute value from which a value is formatted as a whole number.
const minWholeNumber = 1000

// formatTarget returns the formatted target of a figure, or a dash if there is none.
func (f Figure) formatTarget() string {
	if f.Target == nil {
		return "-"
	}
	return formatValue(*f.Target)
}
