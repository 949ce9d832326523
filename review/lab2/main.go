//go:build review

// Command lab2 plays the scripted cases of the second review. It starts instances as processes, with the command of the deploy file,
// before the project's stand-ins of the platform, and judges a rule by what callers and servers see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name.
var cases = map[string]func(r *record, hasTrouble bool) (isBroken bool, err error){
	"entry":  runEntry,
	"garble": runGarble,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the first argument names, and writes its record into the directory that the second one names.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE DIRECTORY")
		return exitFailed
	}
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	isBroken, err := cases[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitFailed
	case isBroken:
		return exitBroken
	}
	return exitHeld
}
