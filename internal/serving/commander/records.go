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

// records is the table of the commands for records.
var records = []Command{
	{"submit", "FILE...", "check and store the records of files", submit},
	{"accept", "KIND/NAME@SEEN..REVISION...", "bring revisions into force, all at once", accept},
	{"retire", "KIND/NAME@SEEN...", "take records out of force, all at once", retire},
	{"list", "[KIND]", "list the records", list},
	{"show", "KIND/NAME[@REVISION]", "show a record", show},
	{"diff", "KIND/NAME[@FROM..TO]", "show what differs between two revisions", diff},
	{"wait", "EPOCH | -id ID", "wait until an epoch is in force everywhere, or tell what became of a change", wait},
}

// answers lists the statuses of an answer to a change.
var answers = []int{http.StatusOK, http.StatusUnprocessableEntity, http.StatusConflict, http.StatusGone,
	http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// submit checks and stores the records of files.
func submit(ctx context.Context, c *Call) int {
	command := accepter.Command{Action: accepter.ActionSubmit}
	if len(c.Args) == 0 {
		return c.usage("a file of records is wanted")
	}
	for _, file := range c.Args {
		content, err := os.ReadFile(file)
		if err != nil {
			return c.usage("%v", err)
		}
		parsed, faults := validator.ParseFile(file, content)
		if len(faults) > 0 {
			c.faults(faults)
			return ExitUsage
		}
		command.Records = append(command.Records, parsed...)
	}
	return c.change(ctx, command)
}

// accept brings revisions into force.
func accept(ctx context.Context, c *Call) int {
	command := accepter.Command{Action: accepter.ActionAccept}
	for _, arg := range c.Args {
		change, err := ParseChange(arg)
		if err != nil {
			return c.usage("%v", err)
		}
		command.Changes = append(command.Changes, change)
	}
	if len(command.Changes) == 0 {
		return c.usage("a record is wanted, as KIND/NAME@SEEN..REVISION")
	}
	return c.change(ctx, command)
}

// retire takes records out of force.
func retire(ctx context.Context, c *Call) int {
	command := accepter.Command{Action: accepter.ActionRetire}
	for _, arg := range c.Args {
		change, err := ParseChange(arg + "..0")
		if err != nil {
			return c.usage("%s: want KIND/NAME@SEEN", arg)
		}
		command.Changes = append(command.Changes, change)
	}
	if len(command.Changes) == 0 {
		return c.usage("a record is wanted, as KIND/NAME@SEEN")
	}
	return c.change(ctx, command)
}

// ParseChange reads KIND/NAME@SEEN..REVISION.
func ParseChange(text string) (accepter.Change, error) {
	name, revisions, found := strings.Cut(text, "@")
	ref, err := parseRef(name)
	if err != nil || !found {
		return accepter.Change{}, fmt.Errorf("%s: want KIND/NAME@SEEN..REVISION", text)
	}
	from, to, _ := strings.Cut(revisions, "..")
	seen, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		return accepter.Change{}, fmt.Errorf("%s: %q is not a revision", text, from)
	}
	revision, err := strconv.ParseInt(to, 10, 64)
	if err != nil {
		return accepter.Change{}, fmt.Errorf("%s: %q is not a revision", text, to)
	}
	return accepter.Change{Kind: ref.Kind, Name: ref.Name, ExpectedRevision: seen, Revision: revision}, nil
}

// parseRef reads KIND/NAME.
func parseRef(text string) (recorder.Ref, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || kind == "" || name == "" {
		return recorder.Ref{}, fmt.Errorf("%s: want KIND/NAME", text)
	}
	return recorder.Ref{Kind: kind, Name: name}, nil
}

// change sends a change and prints what became of it.
func (c *Call) change(ctx context.Context, command accepter.Command) int {
	command.ID, command.Operator, command.Note, command.DryRun = c.ID, c.Operator, c.Note, c.Dry
	if command.Operator == "" {
		return c.usage("the operator's name is wanted, by -operator or HEATHERROCK_OPERATOR")
	}
	if command.ID == "" {
		command.ID = uuid.Must(uuid.NewV7()).String()
	}
	var result accepter.Result
	status, err := c.Client.Do(ctx, http.MethodPost, "/changes", command, &result, answers...)
	return c.report(command, result, status, err)
}

// report prints what became of a change and returns the exit code.
func (c *Call) report(command accepter.Command, result accepter.Result, status int, err error) int {
	switch {
	case errors.Is(err, ErrNotSent):
		return c.fail("not run: %v", err)
	case err != nil && status/100 == 4:
		return c.fail("not run: %v", err)
	case err != nil:
		fmt.Fprintf(c.Stderr, "not yet known: %v\nask with: record wait -id %s\n", err, command.ID)
		return ExitUnknown
	}
	if c.JSON {
		c.print(result)
	} else {
		c.describe(command, result)
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

// list lists the records.
func list(ctx context.Context, c *Call) int {
	query := url.Values{}
	if len(c.Args) > 0 {
		query.Set("kind", c.Args[0])
	}
	var out operator.List
	if _, err := c.Client.Do(ctx, http.MethodGet, "/records?"+query.Encode(), nil, &out, http.StatusOK); err != nil {
		return c.fail("%v", err)
	}
	if c.JSON {
		c.print(out)
		return ExitDone
	}
	c.entries(out)
	return ExitDone
}

// show shows a record.
func show(ctx context.Context, c *Call) int {
	if len(c.Args) != 1 {
		return c.usage("one record is wanted, as KIND/NAME or KIND/NAME@REVISION")
	}
	name, revision, _ := strings.Cut(c.Args[0], "@")
	ref, err := parseRef(name)
	if err != nil {
		return c.usage("%v", err)
	}
	query := url.Values{"revision": {revision}}
	if c.Schema != 0 {
		query.Set("schema", strconv.Itoa(c.Schema))
	}
	var out operator.Shown
	if _, err := c.Client.Do(ctx, http.MethodGet, path(ref)+"?"+query.Encode(), nil, &out, http.StatusOK); err != nil {
		return c.fail("%v", err)
	}
	if c.JSON {
		c.print(out)
		return ExitDone
	}
	c.print(out.Record)
	return ExitDone
}

// path returns the path of a record.
func path(ref recorder.Ref) string {
	return "/records/" + url.PathEscape(ref.Kind) + "/" + url.PathEscape(ref.Name)
}

// diff shows what differs between two revisions.
func diff(ctx context.Context, c *Call) int {
	if len(c.Args) != 1 {
		return c.usage("one record is wanted, as KIND/NAME or KIND/NAME@FROM..TO")
	}
	name, revisions, _ := strings.Cut(c.Args[0], "@")
	ref, err := parseRef(name)
	if err != nil {
		return c.usage("%v", err)
	}
	from, to, _ := strings.Cut(revisions, "..")
	query := url.Values{"from": {from}, "to": {to}}
	var out []recorder.Diff
	if _, err := c.Client.Do(ctx, http.MethodGet, path(ref)+"/diff?"+query.Encode(), nil, &out, http.StatusOK); err != nil {
		return c.fail("%v", err)
	}
	if c.JSON {
		c.print(out)
		return ExitDone
	}
	c.diffs(out)
	return ExitDone
}

// wait waits until an epoch is in force everywhere, or tells what became of a change.
func wait(ctx context.Context, c *Call) int {
	if c.ID != "" {
		command := accepter.Command{ID: c.ID, Action: accepter.ActionResolve}
		var result accepter.Result
		to := "/changes/" + url.PathEscape(c.ID) + "/resolve"
		status, err := c.Client.Do(ctx, http.MethodPost, to, nil, &result, answers...)
		return c.report(command, result, status, err)
	}
	if len(c.Args) != 1 {
		return c.usage("an epoch is wanted, or -id with the id of a change")
	}
	query := url.Values{"timeout": {strconv.FormatInt(c.Timeout.Milliseconds(), 10)}}
	to := "/epochs/" + url.PathEscape(c.Args[0]) + "/wait?" + query.Encode()
	var out operator.Waited
	status, err := c.Client.Do(ctx, http.MethodGet, to, nil, &out, http.StatusOK, http.StatusGatewayTimeout)
	if err != nil {
		return c.fail("%v", err)
	}
	if c.JSON {
		c.print(out)
	} else {
		c.waited(out)
	}
	if status != http.StatusOK {
		return ExitUnknown
	}
	return ExitDone
}
