package launcher

import (
	"context"
	"fmt"
	"os"

	"github.com/heatherrock/heatherrock/internal/serving/explainer"
)

// explain prints the history of a request from logs. The exit code is ExitFailed if no line names the request, and
// ExitIncomplete if lines could not be read or were left out, so that the history may lack some.
func explain(_ context.Context, s Streams, args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(s.Err, "heatherrock explain: the request's id is missing")
		return ExitUsage
	}
	var log explainer.Log
	if err := readLogs(&log, s, args[1:]); err != nil {
		fmt.Fprintf(s.Err, "heatherrock explain: %v\n", err)
		return ExitUsage
	}
	history, ok := log.Explain(args[0])
	if ok {
		if err := history.Write(s.Out); err != nil {
			fmt.Fprintf(s.Err, "heatherrock explain: %v\n", err)
			return ExitFailed
		}
	} else {
		fmt.Fprintf(s.Err, "heatherrock explain: no line of %d names request %s\n", len(log.Lines), args[0])
	}
	if log.Unparsed > 0 || log.Dropped > 0 {
		fmt.Fprintf(s.Err, "heatherrock explain: %d lines could not be read, %d were left out by instances\n", log.Unparsed, log.Dropped)
		return ExitIncomplete
	}
	if !ok {
		return ExitFailed
	}
	return ExitDone
}

// readLogs reads files, or the standard input if there are none.
func readLogs(log *explainer.Log, s Streams, files []string) error {
	if len(files) == 0 {
		return log.Read(s.In)
	}
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads one file.
func readLog(log *explainer.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Read(f)
}
