package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/serving/settler"
)

// callCommands is the table of the commands for calls of plain services.
var callCommands = []Command{
	{"list", "[DAY]", "list the calls whose outcome is not known: those that were asked for, or all of a day's keys", listCalls},
	{"show", "DAY/TEAM/KEY", "show a call", showCall},
	{"settle", "DAY/TEAM/KEY@VERSION completed|not-run [gone]", "say what became of a call; gone if its owner has ended", settleCall},
}

// listCalls prints the calls whose outcome is not known: those that somebody queried, or with a day as argument all of
// that day's keys.
func listCalls(ctx context.Context, i *Invocation) int {
	path := "/calls"
	if len(i.Args) > 0 {
		path += "/" + url.PathEscape(i.Args[0])
	}
	var entries []settler.Entry
	if _, err := i.Client.Do(ctx, http.MethodGet, path, nil, &entries, http.StatusOK); err != nil {
		return i.fail("%v", err)
	}
	if i.JSON {
		i.printJSON(entries)
		return ExitDone
	}
	table := tabwriter.NewWriter(i.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CALL\tVERSION\tSTATE\tSERVICE\tPATH\tOWNER\tSINCE")
	for _, e := range entries {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", e.Call, e.Version, e.Record.State, e.Record.Service,
			e.Record.Path, e.Record.Owner, time.UnixMilli(e.Record.WrittenAtMillis).UTC().Format(time.RFC3339))
	}
	if err := table.Flush(); err != nil {
		return i.fail("%v", err)
	}
	return ExitDone
}

// showCall prints one call.
func showCall(ctx context.Context, i *Invocation) int {
	if len(i.Args) != 1 {
		return i.failUsage("a call is wanted, as DAY/TEAM/KEY")
	}
	path, ok := callPath(i.Args[0])
	if !ok {
		return i.failUsage("a call is wanted, as DAY/TEAM/KEY")
	}
	var entry settler.Entry
	if _, err := i.Client.Do(ctx, http.MethodGet, path, nil, &entry, http.StatusOK); err != nil {
		return i.fail("%v", err)
	}
	i.printJSON(entry)
	return ExitDone
}

// settleCall records the outcome that an operator states for a call.
func settleCall(ctx context.Context, i *Invocation) int {
	if len(i.Args) < 2 || len(i.Args) > 3 || (len(i.Args) == 3 && i.Args[2] != "gone") {
		return i.failUsage("a call and an outcome are wanted, as DAY/TEAM/KEY@VERSION completed|not-run [gone]")
	}
	if i.Operator == "" {
		return i.failUsage("-operator is wanted, for the audit")
	}
	name, version, _ := strings.Cut(i.Args[0], "@")
	path, ok := callPath(name)
	expectedVersion, err := strconv.ParseInt(version, 10, 64)
	if err != nil || !ok {
		return i.failUsage("%s: want DAY/TEAM/KEY@VERSION", i.Args[0])
	}
	settlement := claimer.Settlement{
		Outcome: i.Args[1], Operator: i.Operator, Note: i.Note, Version: expectedVersion, OwnerEnded: len(i.Args) == 3,
	}
	var entry settler.Entry
	status, err := i.Client.Do(ctx, http.MethodPost, path+"/settle", settlement, &entry, http.StatusOK)
	if err != nil {
		code := i.fail("%v", err)
		if status == http.StatusGatewayTimeout || (status == 0 && !errors.Is(err, ErrNotSent)) {
			code = ExitUnknown
		}
		return code
	}
	if i.JSON {
		i.printJSON(entry)
		return ExitDone
	}
	fmt.Fprintf(i.Stdout, "%s is %s by %s\n", entry.Call, entry.Record.State, entry.Record.SettledBy)
	return ExitDone
}

// callPath returns the path of a call named as DAY/TEAM/KEY.
func callPath(name string) (string, bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return "", false
	}
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/calls/" + strings.Join(parts, "/"), true
}
