package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
)

// maxAnswer is the largest answer of an instance, in bytes.
const maxAnswer = 64 << 20

// ErrNotSent means that no byte of a request left this process.
var ErrNotSent = merry.New("the instance cannot be reached; nothing was sent")

// Client talks to the operators' listener of an instance.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// NewClient returns a client for the base URL of an operators' listener.
func NewClient(address, token string) Client {
	return Client{address: address, token: token, http: &http.Client{}}
}

// Trust returns an HTTP client that trusts the authorities of a file in PEM alone, or those of the system if no file is
// named. It returns an error if the file holds none.
func Trust(file string) (*http.Client, error) {
	if file == "" {
		return &http.Client{}, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, merry.Errorf("%s holds no certificate in PEM", file)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, nil
}

// Do sends a request and decodes the answer into out if the status is one of those wanted. It returns the status. The
// error is ErrNotSent if nothing was sent; otherwise the request may have been run.
func (c Client) Do(ctx context.Context, method, path string, body, out any, wanted ...int) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, merry.Prepend(err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, merry.Prependf(ErrNotSent, "%v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return 0, sent(err)
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return answer.StatusCode, merry.Prepend(err, "answer")
	}
	for _, status := range wanted {
		if answer.StatusCode == status {
			return status, json.Unmarshal(content, out)
		}
	}
	var problem struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(content, &problem) != nil || problem.Error == "" {
		problem.Error = answer.Status
	}
	return answer.StatusCode, merry.New(problem.Error)
}

// sent returns the error of a request that got no answer: ErrNotSent if it failed to connect.
func sent(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return merry.Prependf(ErrNotSent, "%v", dial)
	}
	return err
}
