package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/serving/operator"
)

// recordCommands is the table of the commands for records.
var recordCommands = []Command{
	{"submit", "FILE...", "check and store the records of files", submitRecords},
	{"accept", "KIND/NAME@SEEN..REVISION...", "bring revisions into force, all at once", acceptRecords},
	{"retire", "KIND/NAME@SEEN...", "take records out of force, all at once", retireRecords},
	{"list", "[KIND]", "list the records", listRecords},
	{"show", "KIND/NAME[@REVISION]", "show a record", showRecord},
	{"diff", "KIND/NAME[@FROM..TO]", "show what differs between two revisions", diffRevisions},
	{"wait", "EPOCH | -id ID", "wait until an epoch is in force everywhere, or tell what became of a change", waitInForce},
}

// changeStatuses lists the HTTP statuses that carry the result of a change.
var changeStatuses = []int{http.StatusOK, http.StatusUnprocessableEntity, http.StatusConflict, http.StatusGone,
	http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// submitRecords validates and stores the records of files.
func submitRecords(ctx context.Context, i *Invocation) int {
	command := accepter.Command{Action: accepter.ActionSubmit}
	if len(i.Args) == 0 {
		return i.failUsage("a file of records is wanted")
	}
	for _, file := range i.Args {
		content, err := os.ReadFile(file)
		if err != nil {
			return i.failUsage("%v", err)
		}
		parsed, faults := validator.ParseFile(file, content)
		if len(faults) > 0 {
			i.printFaults(faults)
			return ExitUsage
		}
		command.Records = append(command.Records, parsed...)
	}
	return i.sendChange(ctx, command)
}

// acceptRecords puts revisions into force.
func acceptRecords(ctx context.Context, i *Invocation) int {
	command := accepter.Command{Action: accepter.ActionAccept}
	for _, arg := range i.Args {
		change, err := ParseChange(arg)
		if err != nil {
			return i.failUsage("%v", err)
		}
		command.Changes = append(command.Changes, change)
	}
	if len(command.Changes) == 0 {
		return i.failUsage("a record is wanted, as KIND/NAME@SEEN..REVISION")
	}
	return i.sendChange(ctx, command)
}

// retireRecords takes records out of force.
func retireRecords(ctx context.Context, i *Invocation) int {
	command := accepter.Command{Action: accepter.ActionRetire}
	for _, arg := range i.Args {
		change, err := ParseChange(arg + "..0")
		if err != nil {
			return i.failUsage("%s: want KIND/NAME@SEEN", arg)
		}
		command.Changes = append(command.Changes, change)
	}
	if len(command.Changes) == 0 {
		return i.failUsage("a record is wanted, as KIND/NAME@SEEN")
	}
	return i.sendChange(ctx, command)
}

// ParseChange parses KIND/NAME@SEEN..REVISION. SEEN is the revision that the operator expects to be in force.
func ParseChange(text string) (accepter.Change, error) {
	name, revisions, found := strings.Cut(text, "@")
	ref, err := parseRef(name)
	if err != nil || !found {
		return accepter.Change{}, fmt.Errorf("%s: want KIND/NAME@SEEN..REVISION", text)
	}
	from, to, _ := strings.Cut(revisions, "..")
	expectedRevision, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		return accepter.Change{}, fmt.Errorf("%s: %q is not a revision", text, from)
	}
	revision, err := strconv.ParseInt(to, 10, 64)
	if err != nil {
		return accepter.Change{}, fmt.Errorf("%s: %q is not a revision", text, to)
	}
	return accepter.Change{Kind: ref.Kind, Name: ref.Name, ExpectedRevision: expectedRevision, Revision: revision}, nil
}

// parseRef parses KIND/NAME.
func parseRef(text string) (recorder.Ref, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || kind == "" || name == "" {
		return recorder.Ref{}, fmt.Errorf("%s: want KIND/NAME", text)
	}
	return recorder.Ref{Kind: kind, Name: name}, nil
}

// sendChange sends a change and prints its outcome.
func (i *Invocation) sendChange(ctx context.Context, command accepter.Command) int {
	command.ID, command.Operator, command.Note, command.DryRun = i.ID, i.Operator, i.Note, i.DryRun
	if command.Operator == "" {
		return i.failUsage("the operator's name is wanted, by -operator or HEATHERROCK_OPERATOR")
	}
	if command.ID == "" {
		command.ID = uuid.Must(uuid.NewV7()).String()
	}
	var result accepter.Result
	status, err := i.Client.Do(ctx, http.MethodPost, "/changes", command, &result, changeStatuses...)
	return i.reportChange(command, result, status, err)
}

// reportChange prints the outcome of a change and returns the exit code.
func (i *Invocation) reportChange(command accepter.Command, result accepter.Result, status int, err error) int {
	switch {
	case errors.Is(err, ErrNotSent):
		return i.fail("not run: %v", err)
	case err != nil && status/100 == 4:
		return i.fail("not run: %v", err)
	case err != nil:
		fmt.Fprintf(i.Stderr, "not yet known: %v\nask with: record wait -id %s\n", err, command.ID)
		return ExitUnknown
	}
	if i.JSON {
		i.printJSON(result)
	} else {
		i.printChange(command, result)
	}
	switch status {
	case http.StatusOK:
		if result.OutcomeName != "completed" && !command.DryRun {
			return ExitFailed
		}
		return ExitDone
	case http.StatusGatewayTimeout:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// listRecords lists the records.
func listRecords(ctx context.Context, i *Invocation) int {
	query := url.Values{}
	if len(i.Args) > 0 {
		query.Set("kind", i.Args[0])
	}
	var out operator.ListResult
	if _, err := i.Client.Do(ctx, http.MethodGet, "/records?"+query.Encode(), nil, &out, http.StatusOK); err != nil {
		return i.fail("%v", err)
	}
	if i.JSON {
		i.printJSON(out)
		return ExitDone
	}
	i.printList(out)
	return ExitDone
}

// showRecord shows a record.
func showRecord(ctx context.Context, i *Invocation) int {
	if len(i.Args) != 1 {
		return i.failUsage("one record is wanted, as KIND/NAME or KIND/NAME@REVISION")
	}
	name, revision, _ := strings.Cut(i.Args[0], "@")
	ref, err := parseRef(name)
	if err != nil {
		return i.failUsage("%v", err)
	}
	query := url.Values{"revision": {revision}}
	if i.Schema != 0 {
		query.Set("schema", strconv.Itoa(i.Schema))
	}
	var out operator.ShowResult
	if _, err := i.Client.Do(ctx, http.MethodGet, recordPath(ref)+"?"+query.Encode(), nil, &out, http.StatusOK); err != nil {
		return i.fail("%v", err)
	}
	if i.JSON {
		i.printJSON(out)
		return ExitDone
	}
	i.printJSON(out.Record)
	return ExitDone
}

// recordPath returns the URL path of a record.
func recordPath(ref recorder.Ref) string {
	return "/records/" + url.PathEscape(ref.Kind) + "/" + url.PathEscape(ref.Name)
}

// diffRevisions shows what differs between two revisions.
func diffRevisions(ctx context.Context, i *Invocation) int {
	if len(i.Args) != 1 {
		return i.failUsage("one record is wanted, as KIND/NAME or KIND/NAME@FROM..TO")
	}
	name, revisions, _ := strings.Cut(i.Args[0], "@")
	ref, err := parseRef(name)
	if err != nil {
		return i.failUsage("%v", err)
	}
	from, to, _ := strings.Cut(revisions, "..")
	query := url.Values{"from": {from}, "to": {to}}
	var out []recorder.Diff
	if _, err := i.Client.Do(ctx, http.MethodGet, recordPath(ref)+"/diff?"+query.Encode(), nil, &out, http.StatusOK); err != nil {
		return i.fail("%v", err)
	}
	if i.JSON {
		i.printJSON(out)
		return ExitDone
	}
	i.printDiffs(out)
	return ExitDone
}

// waitInForce waits until an epoch is in force on all live instances, or prints the outcome of the change that -id names.
func waitInForce(ctx context.Context, i *Invocation) int {
	if i.ID != "" {
		command := accepter.Command{ID: i.ID, Action: accepter.ActionResolve}
		var result accepter.Result
		path := "/changes/" + url.PathEscape(i.ID) + "/resolve"
		status, err := i.Client.Do(ctx, http.MethodPost, path, nil, &result, changeStatuses...)
		return i.reportChange(command, result, status, err)
	}
	if len(i.Args) != 1 {
		return i.failUsage("an epoch is wanted, or -id with the id of a change")
	}
	query := url.Values{"timeout": {strconv.FormatInt(i.Timeout.Milliseconds(), 10)}}
	path := "/epochs/" + url.PathEscape(i.Args[0]) + "/wait?" + query.Encode()
	var out operator.WaitResult
	status, err := i.Client.Do(ctx, http.MethodGet, path, nil, &out, http.StatusOK, http.StatusGatewayTimeout)
	if err != nil {
		return i.fail("%v", err)
	}
	if i.JSON {
		i.printJSON(out)
	} else {
		i.printWait(out)
	}
	if status != http.StatusOK {
		return ExitUnknown
	}
	return ExitDone
}
