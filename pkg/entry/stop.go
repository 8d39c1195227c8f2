package entry

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

const (
	drainPoll  = 10 * time.Millisecond
	flushPause = 100 * time.Millisecond // for messages that wait to be batched
)

// Stop is a planned stop. The health check reports the host as leaving first; then the
// jobs under way finish, within the grace period of the settings; then the answers are
// handed over to the backups.
func (h *Host) Stop() {
	h.Log.Info("stop_began", "jobs", h.memory.underWay())
	h.leaving.Store(true)
	h.members.setLeaving()
	time.Sleep(h.settings.LeaveNotice)
	h.closing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopGrace)
	defer cancel()
	h.memory.closeHomes()
	h.drain(ctx)
	_ = h.callers.Shutdown(ctx)
	homes, answers := h.memory.handover()
	h.handOver(homes, answers)
	time.Sleep(flushPause)
	h.Close()
	h.Log.Info("stop_ended", "ids", len(answers), "jobs_cut_off", h.memory.underWay())
}

// drain waits until no job is under way.
func (h *Host) drain(ctx context.Context) {
	for h.memory.underWay() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// handOver sends the answers to the backups that know their ids, and has them
// fence the homes, so that they answer for this host.
func (h *Host) handOver(homes []once.Home, answers map[once.ID]*once.Answer) {
	view := h.members.view()
	for id, answer := range answers {
		if backup, ok := view.ByIncarnation(id.Home.Backup); ok {
			h.members.send(backup.Name, copyMessage(id, answer), 0)
		}
	}
	for _, home := range homes {
		if backup, ok := view.ByIncarnation(home.Backup); ok {
			h.members.send(backup.Name, &peerpb.Message{Body: &peerpb.Message_FenceHome{FenceHome: &peerpb.FenceHome{Home: toHome(home)}}}, 0)
		}
	}
}

// Close ends the host at once.
func (h *Host) Close() {
	h.stopLoops()
	_ = h.callers.Close()
	h.peerSide.Close()
	h.members.links.Close()
	h.targets.Close()
}
