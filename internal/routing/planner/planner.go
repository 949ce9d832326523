// Package planner models the paths through a model's layers over the endpoints that hold them, and computes the
// throughput that endpoints and links allow.
package planner

import "time"

// Endpoint is a model-serving server.
type Endpoint struct {
	ID         string
	Address    string
	Kind       string
	DataCentre string
	Region     string
	Held       []Held
	Adapters   []string
	// Rate is the capacity in layer steps a second; a layer step runs one layer for one token.
	Rate float64
}

// Held is a range of layers of a model's version, from From up to, not including, To.
type Held struct {
	Model   string
	Version string
	From    int
	To      int
}

// Link is the connection between the endpoints of two data centres, in one direction.
type Link struct {
	From string
	To   string
	// Rate is the capacity in tokens a second. Zero means that the link does not limit.
	Rate float64
	// Delay is the time that a step takes to cross the link.
	Delay time.Duration
}

// Stage is the part of a plan that one endpoint runs: the layers from From up to, not including, To.
type Stage struct {
	Endpoint string
	Address  string
	From     int
	To       int
}

// Plan is an ordered list of stages that covers every layer of a model's version once.
type Plan struct {
	Model   string
	Version string
	Stages  []Stage
}

// Covers reports whether the stages run each layer from 0 up to, not including, layers once and in order.
func Covers(stages []Stage, layers int) bool {
	next := 0
	for _, s := range stages {
		if s.From != next || s.To <= s.From {
			return false
		}
		next = s.To
	}
	return next == layers && layers > 0
}
