package runner

import (
	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// Dial returns clients of the platform's services that the settings name. Nothing is connected before its first use.
func Dial(s configurer.Settings) Platform {
	return Platform{
		Table:   tabler.NewClient(s.Tables),
		Objects: storer.NewClient(s.Objects),
		List:    lister.NewClient(s.Instances),
	}
}
