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
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", name, number(f.Value), f.Unit, f.target())
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
			row[0] = number(b.Value)
		}
		if inAfter {
			row[1] = number(a.Value)
		}
		if inBefore && inAfter && b.Value != 0 {
			row[2] = fmt.Sprintf("%+.1f%%", (a.Value/b.Value-1)*100)
		}
		shown := a
		if !inAfter {
			shown = b
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", name, row[0], row[1], row[2], shown.Unit, shown.target())
	}
	return table.Flush()
}

// number returns a value with four digits, or all of those before the point.
func number(value float64) string {
	if math.Abs(value) >= wholeFrom {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 4, 64)
}

// wholeFrom is the size from which a value is written as a whole number.
const wholeFrom = 1000

// target returns the target of a figure, or a dash.
func (f Figure) target() string {
	if f.Target == nil {
		return "-"
	}
	return number(*f.Target)
}
