package matcher

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// Engine describes the engine of a service that runs a model; nil for a plain service.
	Engine *placer.Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers that share credentials.
type Team struct {
	Name string
	// Priority takes precedence over that of the route; negative if the team has none.
	Priority int
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  int64
	Table    *Table
	Services map[string]Service
	Limits   Limits
	// Teams holds the teams by credential. IsOpen is true if no credential is required: an operator who takes the last one away
	// lets nobody in.
	Teams  map[string]Team
	IsOpen bool
}

// Verdict says whether a request is allowed, or why not.
type Verdict int

// The verdicts on a request: NoRoute if no route matches it, NoCredential if its route requires a credential of a team.
const (
	Allowed Verdict = iota
	NoRoute
	NoCredential
)

// Admit returns the route of a request, the team to which its credential belongs, and whether it is allowed.
func (c *Configuration) Admit(host, path, credential string) (Route, Team, Verdict) {
	r, ok := c.Table.Match(host, path)
	if !ok {
		return Route{}, Team{}, NoRoute
	}
	t, ok := c.Teams[credential]
	switch {
	case ok && credential != "":
		// The team is named on an anonymous route too, so that endpoints see whose request it is.
		return r, t, Allowed
	case r.Anonymous || c.IsOpen:
		return r, Team{Priority: -1}, Allowed
	}
	return r, Team{}, NoCredential
}
