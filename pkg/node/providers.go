package node

import (
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

func provideIncarnation(c *common.Common) (once.Incarnation, error) {
	return once.NewIncarnation(c.Rand)
}

func provideAdapter(s *settings.Node, meter *traffic.Meter) (Adapter, error) {
	newAdapter, err := Adapters.Get(s.Adapter)
	if err != nil {
		return nil, err
	}
	return newAdapter(s, meter), nil
}
