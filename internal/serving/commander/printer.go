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

// printJSON prints a value as indented JSON.
func (i *Invocation) printJSON(value any) {
	encoder := json.NewEncoder(i.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(i.Stderr, err)
	}
}

// printFaults prints faults, one a line.
func (i *Invocation) printFaults(faults []validator.Fault) {
	for _, f := range faults {
		fmt.Fprintln(i.Stderr, f)
	}
}

// printDiffs prints differences, one a line.
func (i *Invocation) printDiffs(diffs []recorder.Diff) {
	for _, d := range diffs {
		fmt.Fprintln(i.Stdout, d)
	}
}

// printChange prints the outcome of a change.
func (i *Invocation) printChange(command accepter.Command, r accepter.Result) {
	for _, f := range r.Notes {
		fmt.Fprintln(i.Stderr, "note:", f)
	}
	i.printFaults(r.Faults)
	for _, conflict := range r.Conflicts {
		fmt.Fprintln(i.Stderr, "conflict:", conflict)
	}
	if command.DryRun {
		i.printDiffs(r.Diffs)
	}
	var changes []string
	for _, change := range r.Changes {
		changes = append(changes, change.String())
	}
	switch {
	case r.OutcomeName == "unknown":
		fmt.Fprintf(i.Stderr, "not yet known: %s\nask with: record wait -id %s\n", r.Reason, r.ID)
	case r.OutcomeName != "completed" && r.Reason != "":
		fmt.Fprintln(i.Stdout, r.Reason)
	case r.OutcomeName != "completed":
		fmt.Fprintln(i.Stdout, "nothing was written")
	case r.Epoch == 0:
		fmt.Fprintf(i.Stdout, "submitted %s\n", strings.Join(changes, " "))
	default:
		fmt.Fprintf(i.Stdout, "epoch %d: %s\n", r.Epoch, strings.Join(changes, " "))
	}
}

// printList prints a list of records as a table.
func (i *Invocation) printList(list operator.ListResult) {
	fmt.Fprintf(i.Stdout, "epoch %d, from the %s\n", list.Epoch, list.From)
	w := tabwriter.NewWriter(i.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RECORD\tSTATE\tFORCE\tLATEST\tEPOCH\tOPERATOR\tTIME")
	for _, e := range list.Entries {
		changedAt := ""
		if e.Stamp != 0 {
			changedAt = time.UnixMilli(e.Stamp).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", e.Ref(), e.State, e.ActiveRevision, e.LatestRevision, e.Epoch, e.Operator, changedAt)
	}
	_ = w.Flush()
}

// printWait prints on how many instances an epoch is in force, and the instances where it is not.
func (i *Invocation) printWait(result operator.WaitResult) {
	fmt.Fprintf(i.Stdout, "epoch %d is in force on %d of %d instances\n", result.Epoch, result.InstanceCount-len(result.Behind), result.InstanceCount)
	for _, e := range result.Behind {
		if e.Error != "" {
			fmt.Fprintf(i.Stdout, "%s: not known: %s\n", e.ID, e.Error)
			continue
		}
		fmt.Fprintf(i.Stdout, "%s: at epoch %d\n", e.ID, e.Epoch)
	}
}
