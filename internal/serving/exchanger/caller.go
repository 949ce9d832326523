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

// ErrUnreachable is the error of a call whose answer did not come: the peer may have run it.
var ErrUnreachable = merry.Sentinel("peer unreachable")

// ErrNotSent is the error of a call that could not be sent.
var ErrNotSent = merry.Sentinel("call not sent")

// ErrClosed is the error of a call after the Exchanger has been closed.
var ErrClosed = merry.Sentinel("exchanger closed")

// Call calls a method of a peer. Without an answer before the context's deadline the connection is taken as silent: it
// is closed, and the next call dials a new one. The error is ErrNotSent if nothing was sent, ErrUnreachable if the
// call may have run, and else the method's own. Reply is set only if the error is nil: net/rpc goes on decoding the
// answer of a call that was given up, so it decodes into a value of its own.
func (x *Exchanger) Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, x.options.timeout)
	defer cancel()
	x.Count.Calls.Add(1)
	client, err := x.client(ctx, peer.Address)
	if err != nil {
		x.Count.Failed.Add(1)
		return merry.Prependf(ErrNotSent, "%s: %v", peer.ID, err)
	}
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return x.answer(peer, client, call.Error)
	case <-ctx.Done():
		return x.answer(peer, client, ctx.Err())
	case <-x.done:
		return ErrClosed
	}
}

// answer drops the connection unless the error is the method's own, and returns the call's error.
func (x *Exchanger) answer(peer gossiper.Peer, client *rpc.Client, err error) error {
	var own rpc.ServerError
	if err == nil || errors.As(err, &own) {
		return err
	}
	x.drop(peer.Address, client)
	x.Count.Failed.Add(1)
	return merry.Prependf(ErrUnreachable, "%s: %v", peer.ID, err)
}

// client returns the connection to an address, dialling it if there is none.
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

// dial opens a connection.
func (x *Exchanger) dial(ctx context.Context, address string) (*rpc.Client, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, idle: x.options.idle, write: x.options.timeout, count: &x.Count}
	if x.options.client == nil {
		return rpc.NewClient(c), nil
	}
	secure := tls.Client(c, x.named(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return rpc.NewClient(secure), nil
}

// named returns the TLS settings for an address: its host is the name expected unless the settings give one.
func (x *Exchanger) named(address string) *tls.Config {
	config := x.options.client
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
		// The state of a connection names the host only if it is not an IP number.
		config.VerifyConnection = func(s tls.ConnectionState) error {
			s.ServerName = host
			return verify(s)
		}
	}
	return config
}

// drop closes a connection and forgets it, so that the next call dials a new one.
func (x *Exchanger) drop(address string, client *rpc.Client) {
	x.mu.Lock()
	if x.clients[address] == client {
		delete(x.clients, address)
	}
	x.mu.Unlock()
	if err := client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		x.options.logger.Debug("close of a peer's connection failed", "address", address, "error", err)
	}
}

// exchange carries one exchange with a peer out.
func (x *Exchanger) exchange(ctx context.Context, peer gossiper.Peer) {
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
		m = x.handle(reply)
	}
}
