// Command 5 sends a request again and again that makes each server that begins to run it go dark.
package main

import "github.com/heatherrock/heatherrock/review/lab"

func main() {
	lab.Main(func(l *lab.Lab) (bool, error) {
		return l.PlayDeadly(func() { l.SetDark(lab.DeadlyPart) })
	})
}
