package entry

import (
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/foxcroft/foxcroft/pkg/settings"
)

func provideIncarnation(c *common.Common) (once.Incarnation, error) {
	return once.NewIncarnation(c.Rand)
}

func providePlatform(s *settings.Entry) (platform.Platform, error) {
	newClient, err := platform.Clients.Get(s.Client)
	if err != nil {
		return nil, err
	}
	return newClient(s.Platform), nil
}
