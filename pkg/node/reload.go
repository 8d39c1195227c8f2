package node

import "github.com/foxcroft/foxcroft/pkg/settings"

// Reload reads the settings file again and applies its seeds, the only setting that can
// change while the node runs. An invalid file changes nothing.
func (n *Node) Reload(path string) {
	s, err := settings.LoadNode(path)
	if err != nil {
		n.Log.Error("settings_refused", "error", err.Error())
		return
	}
	n.mu.Lock()
	n.members.AddAddresses(excludeAddress(s.Seeds, n.settings.PeerAddress), n.Clock.Now())
	n.mu.Unlock()
	n.refreshLinks()
	n.Log.Info("settings_reloaded", "seeds", len(s.Seeds))
}
