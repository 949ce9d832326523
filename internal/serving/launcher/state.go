package launcher

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// stateTimeout bounds the call of an instance for its state.
const stateTimeout = 10 * time.Second

// state prints the state of a running instance as JSON.
func state(ctx context.Context, s Streams, args []string) int {
	f := flag.NewFlagSet("state", flag.ContinueOnError)
	address := f.String("addr", "127.0.0.1:8081", "address of the operators' listener")
	part := f.String("part", "", "name of one part; empty prints all")
	token := f.String("token", "", "operators' bearer token")
	code, ok := parse(f, s, func() error { return ff.Parse(f, args, ff.WithEnvVarPrefix("HEATHERROCK")) })
	if !ok {
		return code
	}
	url := "http://" + *address + "/state"
	if *part != "" {
		url += "/" + *part
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	if *token != "" {
		r.Header.Set("Authorization", "Bearer "+*token)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitFailed
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(answer.Body)
		fmt.Fprintf(s.Err, "%s: %s", answer.Status, content)
		return ExitFailed
	}
	if _, err := io.Copy(s.Out, answer.Body); err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitFailed
	}
	return ExitDone
}
