//go:build wireinject

package entry

import (
	"github.com/charmbracelet/log"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/google/wire"
)

// Initialize wires an entry host.
func Initialize(s *settings.Entry, logger *log.Logger) (*Host, error) {
	wire.Build(common.NewCommon, provideIncarnation, providePlatform, NewHost)
	return nil, nil
}
