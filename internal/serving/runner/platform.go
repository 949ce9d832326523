package runner

import (
	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// NewPlatform returns clients of the platform's services at the addresses in the settings. Each connects at its first use.
func Dial(s configurer.Settings) Platform {
	return Platform{
		Table:   tabler.NewClient(s.Tables),
		Objects: storer.NewClient(s.Objects),
		List:    lister.NewClient(s.Instances),
	}
}
