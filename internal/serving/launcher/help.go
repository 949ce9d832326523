package launcher

import (
	"context"
	_ "embed"
	"fmt"

	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// helpPage is the program's help.
//
//go:embed help.md
var helpPage string

// help prints the program's help, the table of settings or the usage of a command.
func (l *Launcher) help(_ context.Context, s Streams, args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(s.Out, helpPage)
		l.usage(s.Out)
		return ExitDone
	}
	if args[0] == "settings" {
		fmt.Fprint(s.Out, configurer.Help())
		return ExitDone
	}
	c, ok := l.findCommand(args[0])
	if !ok {
		fmt.Fprintf(s.Err, "heatherrock: there is no command %q\n", args[0])
		return ExitUsage
	}
	fmt.Fprintf(s.Out, "usage: heatherrock %s\n\n%s\n", c.Usage, c.Help)
	return ExitDone
}
