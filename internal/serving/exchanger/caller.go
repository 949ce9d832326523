package exchanger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// ErrUnreachable is the error of a call that received no response: the peer may have run it.
var ErrUnreachable = merry.Sentinel("peer unreachable")

// ErrNotSent is the error of a call that could not be sent.
var ErrNotSent = merry.Sentinel("call not sent")

// ErrClosed is the error of a call after the Exchanger has been closed.
var ErrClosed = merry.Sentinel("exchanger closed")

// Call calls a method of a peer. If no response arrives before the context's deadline or the timeout, the connection
// is considered dead: it is closed, and the next call dials a new one. The error is ErrNotSent if nothing was sent,
// ErrUnreachable if the call may have run, ErrClosed if the Exchanger was closed meanwhile and the call may have run,
// and otherwise the method's own. Reply is set only if the error is nil: net/rpc continues to decode the response of an
// abandoned call, so it decodes into a separate value.
func (x *Exchanger) Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, x.options.timeout)
	defer cancel()
	x.Traffic.Calls.Add(1)
	client, err := x.client(ctx, peer.Address)
	if err != nil {
		x.Traffic.Failed.Add(1)
		return merry.Prependf(ErrNotSent, "%s: %v", peer.ID, err)
	}
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return x.finishCall(peer, client, call.Error)
	case <-ctx.Done():
		return x.finishCall(peer, client, ctx.Err())
	case <-x.done:
		return ErrClosed
	}
}

// finishCall returns the error of a call. It closes the connection if the call failed and the error is not the method's
// own.
func (x *Exchanger) finishCall(peer gossiper.Peer, client *rpc.Client, err error) error {
	var methodErr rpc.ServerError
	if err == nil || errors.As(err, &methodErr) {
		return err
	}
	x.dropClient(peer.Address, client)
	x.Traffic.Failed.Add(1)
	return merry.Prependf(ErrUnreachable, "%s: %v", peer.ID, err)
}

// client returns the connection to an address, and dials one if there is none.
func (x *Exchanger) client(ctx context.Context, address string) (*rpc.Client, error) {
	x.mu.Lock()
	c := x.clients[address]
	x.mu.Unlock()
	if c != nil {
		return c, nil
	}
	dialled, err := x.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return nil, errors.Join(ErrClosed, dialled.Close())
	}
	if c := x.clients[address]; c != nil {
		return c, dialled.Close()
	}
	x.clients[address] = dialled
	return dialled, nil
}

// dial opens a connection, with TLS if it is configured.
func (x *Exchanger) dial(ctx context.Context, address string) (*rpc.Client, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, idleTimeout: x.options.idleTimeout, writeTimeout: x.options.timeout, traffic: &x.Traffic}
	if x.options.clientTLS == nil {
		return rpc.NewClient(c), nil
	}
	secure := tls.Client(c, x.tlsConfig(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return rpc.NewClient(secure), nil
}

// tlsConfig returns the TLS settings for an address: its host is the expected server name unless the settings give one.
func (x *Exchanger) tlsConfig(address string) *tls.Config {
	config := x.options.clientTLS
	if config.ServerName != "" {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	config = config.Clone()
	config.ServerName = host
	if verify := config.VerifyConnection; verify != nil {
		// The connection state holds the server name only if it is not an IP address.
		config.VerifyConnection = func(s tls.ConnectionState) error {
			s.ServerName = host
			return verify(s)
		}
	}
	return config
}

// dropClient closes a connection and removes it, so that the next call dials a new one.
func (x *Exchanger) dropClient(address string, client *rpc.Client) {
	x.mu.Lock()
	if x.clients[address] == client {
		delete(x.clients, address)
	}
	x.mu.Unlock()
	if err := client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		x.options.logger.Debug("close of a peer's connection failed", "address", address, "error", err)
	}
}

// exchangeWith runs one gossip exchange with a peer: it sends messages until neither side has more to send.
func (x *Exchanger) exchangeWith(ctx context.Context, peer gossiper.Peer) {
	x.mu.Lock()
	m := x.gossip.Open(time.Now(), peer)
	x.mu.Unlock()
	for !m.IsEmpty() {
		var reply gossiper.Message
		if err := x.Call(ctx, peer, "Exchange.Gossip", m, &reply); err != nil {
			x.options.logger.Debug("exchange failed", "peer", peer.ID, "error", err)
			x.mu.Lock()
			x.gossip.RecordFailure(time.Now(), peer.ID)
			x.mu.Unlock()
			return
		}
		if reply.IsEmpty() {
			return
		}
		m = x.handleMessage(reply)
	}
}
