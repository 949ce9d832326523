// Package configurer reads and validates the settings of a process. They come from flags, the environment and a file of
// JSON with comments, in this order of precedence.
package configurer

import "time"

// Settings are the settings of one instance.
type Settings struct {
	ID         string
	DataCentre string
	Region     string
	Callers    Listener
	Operators  Listener
	// Peers is the listener for the other instances, over net/rpc.
	Peers Listener
	// AdvertiseAddress is the address at which other instances reach the peers' listener. Empty means the listener's own.
	AdvertiseAddress string
	// The base URLs of the platform's table service, object store, instance list and weight store.
	TablesURL    string
	ObjectsURL   string
	InstancesURL string
	WeightsURL   string
	Log          Log
	Limits       Limits
	Times        Times
	Repairs      Repairs
	// CredentialHash is the SHA-256 of the operators' bearer token, in hexadecimal. Empty disables authentication.
	CredentialHash string
}

// Listener is an address to listen on, and its TLS files. TLS is off if Cert is empty.
type Listener struct {
	Address string
	Cert    string
	Key     string
	// CA is the file of the authorities that the other end's certificate must come from. Empty means that the
	// listener requests none.
	CA string
}

// Log is the format (text or json) and the lowest level (debug, info, warn or error) of the log.
type Log struct {
	Format string
	Level  string
}

// Limits bounds the requests that the process admits. BodyBytes and HeaderBytes bound the body and the headers of one.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	// HeaderLines bounds the lines of the headers of a request and of the trailers after its body.
	HeaderLines int
	// MemoryBytes and Descriptors are what the process may use of its machine; 0 if this is not known.
	MemoryBytes int64
	Descriptors int
	// ConcurrentRequests bounds the requests that run at once.
	ConcurrentRequests int
	// QueuedRequests bounds the requests that wait for admission.
	QueuedRequests int
}

// Repairs bounds the repairs of missing layer ranges. It is the same on all instances of a region.
type Repairs struct {
	// LayersPerSecond bounds the layers that are read from the weight store.
	LayersPerSecond int
	// ConcurrentLoads bounds the loads of layers that run at once.
	ConcurrentLoads int
	// GracePeriod is how long a range must be missing before it is loaded.
	GracePeriod time.Duration
	// OrderWindow is how long after a renewal of the lease its holder may start orders.
	OrderWindow time.Duration
}

// Times are the process's intervals and timeouts.
type Times struct {
	// PollInterval is the time between reads of the configuration's head.
	PollInterval time.Duration
	// GossipInterval is the time between exchanges with peers.
	GossipInterval time.Duration
	// ListInterval is the time between reads of the platform's instance list. A long list is read less often, and an
	// instance that knows no peer reads it sooner.
	ListInterval time.Duration
	// LoadReadInterval is the least time between reads of an endpoint's load: with many endpoints they are less frequent.
	LoadReadInterval time.Duration
	// ProgressTimeout bounds the wait for the next step of a response.
	ProgressTimeout time.Duration
	// RequestTimeout bounds a request from its arrival to its end.
	RequestTimeout time.Duration
	// HeaderTimeout bounds the wait for the headers of a request, and ConnectionIdleTimeout the wait for the next request
	// on a connection.
	HeaderTimeout         time.Duration
	ConnectionIdleTimeout time.Duration
	// BodyTimeout bounds the wait for the body of a request, and WriteTimeout the wait for a caller to receive a part of a
	// response.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// ReloadInterval is the time between checks of the certificate files for changes.
	ReloadInterval time.Duration
	// NoticePeriod is how long a leaving instance keeps serving after its readiness check fails, so that the load balancer
	// sees the failure before connections are refused.
	NoticePeriod time.Duration
	// DrainTimeout bounds the wait for requests in flight on shutdown.
	DrainTimeout time.Duration
	// MaxStaleness is how long an instance admits requests while neither the store nor a peer can be reached.
	MaxStaleness time.Duration
}
