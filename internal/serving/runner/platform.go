package runner

import (
	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// NewPlatform returns clients of the platform's services at the addresses in the settings. Each connects at its first use.
func NewPlatform(s configurer.Settings) Platform {
	return Platform{
		Table:   tabler.NewClient(s.TablesURL),
		Objects: storer.NewClient(s.ObjectsURL),
		List:    lister.NewClient(s.InstancesURL),
	}
}
