//go:build review

// Command 4 sends a request again and again that crashes each server that runs it, some time after its first event.
package main

import (
	"time"

	"github.com/heatherrock/heatherrock/review/lab"
)

const (
	prompt = "5c1e07a2:40," + lab.DeadlyPart + ":760"
	// crashDelay is how long after its first event the request crashes the server that runs it.
	crashDelay = 250 * time.Millisecond
)

func main() { lab.Main(func(l *lab.Lab) (bool, error) { return l.PlayDeadly(prompt, crashDelay) }) }
