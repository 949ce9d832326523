package matcher

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// Connections bounds the connections of all callers to one endpoint.
	Connections int
	// Engine describes the model of a service that generates; nil for a plain one.
	Engine *placer.Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Team is a group of callers that share credentials.
type Team struct {
	Name string
	// Priority goes before that of the route; negative if the team has none.
	Priority int
}

// Configuration is one version of what the operator wants.
type Configuration struct {
	Version  int64
	Table    *Table
	Services map[string]Service
	Limits   Limits
	// Teams holds the teams by credential. Without teams no credential is asked for.
	Teams map[string]Team
}

// Verdict says why a request is not allowed.
type Verdict int

// The verdicts on a request.
const (
	Allowed Verdict = iota
	NoRoute
	NoCredential
)

// Admit returns the route of a request and the team that a credential belongs to.
func (c *Configuration) Admit(host, path, credential string) (Route, Team, Verdict) {
	r, ok := c.Table.Match(host, path)
	if !ok {
		return Route{}, Team{}, NoRoute
	}
	if r.Anonymous || len(c.Teams) == 0 {
		return r, Team{Priority: -1}, Allowed
	}
	t, ok := c.Teams[credential]
	if !ok || credential == "" {
		return r, Team{}, NoCredential
	}
	return r, t, Allowed
}
