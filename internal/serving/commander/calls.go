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

// calls is the table of the commands for calls of plain services.
var calls = []Command{
	{"list", "[DAY]", "list the calls whose outcome is not known: those that were asked for, or all of a day's keys", listCalls},
	{"show", "DAY/TEAM/KEY", "show a call", showCall},
	{"settle", "DAY/TEAM/KEY@VERSION completed|not-run [gone]", "say what became of a call; gone if its owner has ended", settleCall},
}

// listCalls prints the calls whose outcome is not known.
func listCalls(ctx context.Context, c *Call) int {
	path := "/calls"
	if len(c.Args) > 0 {
		path += "/" + url.PathEscape(c.Args[0])
	}
	var entries []settler.Entry
	if _, err := c.Client.Do(ctx, http.MethodGet, path, nil, &entries, http.StatusOK); err != nil {
		return c.fail("%v", err)
	}
	if c.JSON {
		c.print(entries)
		return ExitDone
	}
	table := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CALL\tVERSION\tSTATE\tSERVICE\tPATH\tOWNER\tSINCE")
	for _, e := range entries {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", e.Call, e.Version, e.Record.State, e.Record.Service,
			e.Record.Path, e.Record.Owner, time.UnixMilli(e.Record.WrittenAtMillis).UTC().Format(time.RFC3339))
	}
	if err := table.Flush(); err != nil {
		return c.fail("%v", err)
	}
	return ExitDone
}

// showCall prints one call.
func showCall(ctx context.Context, c *Call) int {
	if len(c.Args) != 1 {
		return c.usage("a call is wanted, as DAY/TEAM/KEY")
	}
	path, ok := callPath(c.Args[0])
	if !ok {
		return c.usage("a call is wanted, as DAY/TEAM/KEY")
	}
	var entry settler.Entry
	if _, err := c.Client.Do(ctx, http.MethodGet, path, nil, &entry, http.StatusOK); err != nil {
		return c.fail("%v", err)
	}
	c.print(entry)
	return ExitDone
}

// settleCall says what became of a call.
func settleCall(ctx context.Context, c *Call) int {
	if len(c.Args) < 2 || len(c.Args) > 3 || (len(c.Args) == 3 && c.Args[2] != "gone") {
		return c.usage("a call and an outcome are wanted, as DAY/TEAM/KEY@VERSION completed|not-run [gone]")
	}
	if c.Operator == "" {
		return c.usage("-operator is wanted, for the audit")
	}
	name, version, _ := strings.Cut(c.Args[0], "@")
	path, ok := callPath(name)
	seen, err := strconv.ParseInt(version, 10, 64)
	if err != nil || !ok {
		return c.usage("%s: want DAY/TEAM/KEY@VERSION", c.Args[0])
	}
	said := claimer.Settlement{
		Outcome: c.Args[1], Operator: c.Operator, Note: c.Note, Version: seen, OwnerEnded: len(c.Args) == 3,
	}
	var entry settler.Entry
	status, err := c.Client.Do(ctx, http.MethodPost, path+"/settle", said, &entry, http.StatusOK)
	if err != nil {
		code := c.fail("%v", err)
		if status == http.StatusGatewayTimeout || (status == 0 && !errors.Is(err, ErrNotSent)) {
			code = ExitUnknown
		}
		return code
	}
	if c.JSON {
		c.print(entry)
		return ExitDone
	}
	fmt.Fprintf(c.Stdout, "%s is %s by %s\n", entry.Call, entry.Record.State, entry.Record.SettledBy)
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
