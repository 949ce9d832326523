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
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/verifier"
)

const (
	// maxResponseBytes bounds the part of an instance's response that is read.
	maxResponseBytes = 64 << 20
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 10 * time.Second
)

// ErrNotSent reports that no byte of a request was sent, so that it cannot have been executed.
var ErrNotSent = merry.New("the instance cannot be reached; nothing was sent")

// Client calls the operators' listener of an instance.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// NewClient returns a client for the base URL of an operators' listener. It trusts the authorities of the system.
func NewClient(address, token string) Client {
	return Client{address: address, token: token, http: newHTTPClient(&tls.Config{MinVersion: tls.VersionTLS12})}
}

// NewHTTPClient returns an HTTP client that trusts only the CA certificates of a file in PEM, or those of the system if
// file is empty. It returns an error if the file contains none.
func NewHTTPClient(file string) (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if file == "" {
		return newHTTPClient(config), nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(content) {
		return nil, merry.Errorf("%s holds no certificate in PEM", file)
	}
	return newHTTPClient(config), nil
}

// newHTTPClient returns an HTTP client with settings of TLS.
func newHTTPClient(config *tls.Config) *http.Client {
	return &http.Client{Transport: verifier.NewTransport(&http.Transport{
		Proxy: http.ProxyFromEnvironment, TLSClientConfig: config, IdleConnTimeout: idleTimeout,
	})}
}

// Do sends a request and decodes the response into out if its status is one of those expected. It returns the status, or
// 0 if there was no response. The error is ErrNotSent if nothing was sent; otherwise the request may have been executed.
func (c Client) Do(ctx context.Context, method, path string, body, out any, expected ...int) (int, error) {
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
	response, err := c.http.Do(r)
	if err != nil {
		return 0, transportError(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return response.StatusCode, merry.Prepend(err, "answer")
	}
	for _, status := range expected {
		if response.StatusCode == status {
			return status, json.Unmarshal(content, out)
		}
	}
	var problem struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(content, &problem) != nil || problem.Error == "" {
		problem.Error = response.Status
	}
	return response.StatusCode, merry.New(problem.Error)
}

// transportError returns the error of a request that received no response: ErrNotSent if no connection could be opened.
func transportError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return merry.Prependf(ErrNotSent, "%v", dial)
	}
	return err
}
