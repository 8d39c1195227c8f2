package entry

import (
	"context"
	"encoding/hex"
	"io"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
)

const partBytes = 12 // of the random parts of ids minted for callers without one

// resolveID finds the id of a submission, minting one when it has none.
func (h *Host) resolveID(ctx context.Context, text string, r *request) (once.ID, error) {
	if once.HasHome(text) {
		return once.ParseID(text)
	}
	fresh, err := h.newID()
	if text == "" {
		return fresh, err
	}
	if err != nil {
		return once.ID{}, unbound(err) // an earlier submission may have bound it
	}
	return h.keys.bind(ctx, r.labels, text, fresh)
}

// newID mints an id under this host's home.
func (h *Host) newID() (once.ID, error) {
	home, err := h.home()
	if err != nil {
		return once.ID{}, err
	}
	part := make([]byte, partBytes)
	if _, err := io.ReadFull(h.Rand, part); err != nil {
		return once.ID{}, errkind.Wrap(err, errkind.Internal, "report it", "no randomness")
	}
	return once.ID{Home: home, Part: hex.EncodeToString(part)}, nil
}

// home returns this host's current home.
func (h *Host) home() (once.Home, error) {
	if h.conf.get() == nil {
		return once.Home{}, notReady()
	}
	if h.closing.Load() {
		return once.Home{}, errkind.New(errkind.Leaving, "ask another entry host", "the host is leaving")
	}
	home, ok := h.memory.home(h.members.view().Backup, h.Clock.Now())
	if !ok {
		err := errkind.New(errkind.Overloaded, "come back later, or raise max_ids in [once]", "the host's memory of ids is full")
		err.RetryAfter = time.Second
		return once.Home{}, err
	}
	return home, nil
}
