//go:build wireinject

package node

import (
	"github.com/charmbracelet/log"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/traffic"
	"github.com/google/wire"
)

// Initialize builds a node and its dependencies.
func Initialize(s *settings.Node, logger *log.Logger) (*Node, error) {
	wire.Build(common.NewCommon, provideIncarnation, traffic.NewMeter, provideAdapter, NewNode)
	return nil, nil
}
