package launcher

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3"

	"github.com/heatherrock/heatherrock/internal/serving/commander"
)

// stateTimeout bounds the request to an instance for its state.
const stateTimeout = 10 * time.Second

// state prints the state of a running instance as JSON.
func state(ctx context.Context, s Streams, args []string) int {
	f := flag.NewFlagSet("state", flag.ContinueOnError)
	address := f.String("addr", "127.0.0.1:8081", "address of the operators' listener")
	part := f.String("part", "", "name of one part; empty prints all")
	token := f.String("token", "", "operators' bearer token")
	authorities := f.String("ca", "", "file of the authorities of the listener's certificate, in PEM; empty asks without TLS")
	code, ok := parseFlags(f, s, func() error { return ff.Parse(f, args, ff.WithEnvVarPrefix("HEATHERROCK")) })
	if !ok {
		return code
	}
	client, err := commander.NewHTTPClient(*authorities)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	url := "http://" + *address + "/state"
	if *authorities != "" {
		url = "https://" + *address + "/state"
	}
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
	if err := printResponse(client, r, s.Out); err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitFailed
	}
	return ExitDone
}

// printResponse sends a request and copies the response's body.
func printResponse(client *http.Client, r *http.Request, w io.Writer) error {
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(resp.Body)
		return merry.Errorf("%s: %s", resp.Status, content)
	}
	_, err = io.Copy(w, resp.Body)
	return err
}
