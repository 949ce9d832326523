// Package lister is the client of the platform's instance list.
package lister

import "context"

// The roles of an instance in the list.
const (
	// RoleEntry is an instance of heatherrock itself.
	RoleEntry = "entry"
	// RoleEngine is a server of a model engine.
	RoleEngine = "engine"
	// RoleService is a server of a plain service.
	RoleService = "service"
)

// Instance is one entry of the platform's list. The list lags: a listed instance may have stopped already, and a new
// one may be missing.
type Instance struct {
	ID string `json:"id"`
	// Role is one of RoleEntry, RoleEngine and RoleService.
	Role string `json:"role"`
	// Service is the name of the plain service that an instance with RoleService serves.
	Service string `json:"service,omitempty"`
	// Address is the host and port to connect to.
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Region     string `json:"region"`
	// Kind is the kind of accelerator of an engine.
	Kind string `json:"kind,omitempty"`
	// Leaving is true once the platform has begun to remove the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// Lister returns the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}
