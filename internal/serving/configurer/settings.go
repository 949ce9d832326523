// Package configurer reads and checks the settings of a process. They come from flags, the environment and a file of
// JSON with comments, in that order.
package configurer

import "time"

// Settings are the settings of one instance.
type Settings struct {
	// ID names the instance.
	ID         string
	DataCentre string
	Region     string
	Callers    Listener
	Operators  Listener
	// Peers is the listener for the other instances, over net/rpc.
	Peers Listener
	// Advertise is the address at which other instances reach the peers' listener. Empty means the listener's own.
	Advertise string
	// Tables, Objects, Instances and Weights are the base URLs of the platform's services.
	Tables    string
	Objects   string
	Instances string
	Weights   string
	Log       Log
	Limits    Limits
	Times     Times
	Repairs   Repairs
	// Credential is the SHA-256 of the operators' bearer token, in hexadecimal. Empty means that none is asked for.
	Credential string
}

// Listener is an address to listen on, and its TLS files. TLS is off if Cert is empty.
type Listener struct {
	Address string
	Cert    string
	Key     string
	// CA is the file of the authorities that the other end's certificate must come from. Empty means that none is
	// asked for.
	CA string
}

// Log is the format (text or json) and the lowest level (debug, info, warn or error) of the log.
type Log struct {
	Format string
	Level  string
}

// Limits bounds what callers may ask of the process. Body and Header are in bytes.
type Limits struct {
	Body   int64
	Header int
	// Streams bounds the requests that run at once.
	Streams int
	// Queue bounds the requests that wait.
	Queue int
}

// Repairs bounds the repairs of missing layer ranges. It is the same on all instances of a region.
type Repairs struct {
	// Layers bounds what the weight store is asked for, in layers a second.
	Layers int
	// Loads bounds the loads that run at once.
	Loads int
	// Grace is how long a range must be missing before it is loaded.
	Grace time.Duration
	// Window is how long after a write of the lease its holder may start orders.
	Window time.Duration
}

// Times are the process's intervals and timeouts.
type Times struct {
	// Poll is the time between reads of the configuration's head.
	Poll time.Duration
	// Gossip is the time between exchanges with peers.
	Gossip time.Duration
	// List is the time between reads of the platform's instance list.
	List time.Duration
	// Report is the time between reads of an endpoint's load.
	Report time.Duration
	// Progress is the longest wait for a step of an answer.
	Progress time.Duration
	// Request bounds a request from its arrival to its end.
	Request time.Duration
	// Header bounds the wait for the headers of a request, and Idle that for the next request on a connection.
	Header time.Duration
	Idle   time.Duration
	// Body bounds the wait for the body of a request, and Write that for a caller to take a part of an answer.
	Body  time.Duration
	Write time.Duration
	// Reload is the time between looks at the certificate files.
	Reload time.Duration
	// Notice is how long a leaving instance serves after it fails readiness, for the balancer to see it.
	Notice time.Duration
	// Drain bounds the wait for requests in flight on shutdown.
	Drain time.Duration
	// Stale is how long an instance admits requests while neither the store nor a peer can be reached.
	Stale time.Duration
}
