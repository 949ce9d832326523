package launcher

import (
	"context"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// check prints every fault in files of settings or records.
func check(_ context.Context, s Streams, args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(s.Err, "usage: heatherrock check FILE ...")
		return ExitUsage
	}
	code := ExitDone
	for _, file := range args {
		content, err := os.ReadFile(file)
		if err != nil {
			fmt.Fprintln(s.Err, err)
			code = ExitUsage
			continue
		}
		if !checkFile(s, file, content) {
			code = ExitUsage
			continue
		}
		fmt.Fprintf(s.Out, "%s: ok\n", file)
	}
	return code
}

// checkFile prints the faults of one file and reports whether there are none.
func checkFile(s Streams, file string, content []byte) bool {
	if !holdsRecords(content) {
		problems := configurer.Check(file, content)
		for _, p := range problems {
			fmt.Fprintln(s.Out, p)
		}
		return len(problems) == 0
	}
	faults, notes := validator.CheckFile(file, content)
	for _, f := range append(faults, notes...) {
		fmt.Fprintln(s.Out, f)
	}
	return len(faults) == 0
}

// holdsRecords reports whether a file holds records: a list, or an object with a kind.
func holdsRecords(content []byte) bool {
	v, err := hujson.Parse(content)
	if err != nil {
		return false
	}
	if _, ok := v.Value.(*hujson.Array); ok {
		return true
	}
	return v.Find("/kind") != nil
}
