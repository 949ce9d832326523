package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/serving/operator"
)

// print prints a value as indented JSON.
func (c *Call) print(value any) {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(c.Stderr, err)
	}
}

// faults prints faults, one a line.
func (c *Call) faults(faults []validator.Fault) {
	for _, f := range faults {
		fmt.Fprintln(c.Stderr, f)
	}
}

// diffs prints differences, one a line.
func (c *Call) diffs(diffs []recorder.Diff) {
	for _, d := range diffs {
		fmt.Fprintln(c.Stdout, d)
	}
}

// describe prints what became of a change.
func (c *Call) describe(command accepter.Command, r accepter.Result) {
	for _, f := range r.Notes {
		fmt.Fprintln(c.Stderr, "note:", f)
	}
	c.faults(r.Faults)
	for _, conflict := range r.Conflicts {
		fmt.Fprintln(c.Stderr, "conflict:", conflict)
	}
	if command.DryRun {
		c.diffs(r.Diffs)
	}
	var changes []string
	for _, change := range r.Changes {
		changes = append(changes, change.String())
	}
	switch {
	case r.OutcomeName == "unknown":
		fmt.Fprintf(c.Stderr, "not yet known: %s\nask with: record wait -id %s\n", r.Reason, r.ID)
	case r.OutcomeName != "completed" && r.Reason != "":
		fmt.Fprintln(c.Stdout, r.Reason)
	case r.OutcomeName != "completed":
		fmt.Fprintln(c.Stdout, "nothing was written")
	case r.Epoch == 0:
		fmt.Fprintf(c.Stdout, "submitted %s\n", strings.Join(changes, " "))
	default:
		fmt.Fprintf(c.Stdout, "epoch %d: %s\n", r.Epoch, strings.Join(changes, " "))
	}
}

// entries prints a list of records as a table.
func (c *Call) entries(l operator.List) {
	fmt.Fprintf(c.Stdout, "epoch %d, from the %s\n", l.Epoch, l.From)
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RECORD\tSTATE\tFORCE\tLATEST\tEPOCH\tOPERATOR\tTIME")
	for _, e := range l.Entries {
		stamp := ""
		if e.Stamp != 0 {
			stamp = time.UnixMilli(e.Stamp).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", e.Ref(), e.State, e.ActiveRevision, e.LatestRevision, e.Epoch, e.Operator, stamp)
	}
	_ = w.Flush()
}

// waited prints where an epoch is in force.
func (c *Call) waited(w operator.Waited) {
	fmt.Fprintf(c.Stdout, "epoch %d is in force on %d of %d instances\n", w.Epoch, w.Instances-len(w.Behind), w.Instances)
	for _, f := range w.Behind {
		if f.Error != "" {
			fmt.Fprintf(c.Stdout, "%s: not known: %s\n", f.ID, f.Error)
			continue
		}
		fmt.Fprintf(c.Stdout, "%s: at epoch %d\n", f.ID, f.Epoch)
	}
}
