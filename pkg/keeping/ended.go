package keeping

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// Timing of notices to owners about the ends of jobs.
const (
	notifyRetryPause = 300 * time.Millisecond
	// notifyPeriod is how long a notice is retried. Owners forget ended jobs by themselves
	// after that.
	notifyPeriod = 20 * time.Second
	// cancelNoticeRepeat is the delay before the notice of a cancelled job is repeated:
	// another coordinator may have dispatched the job to the next owner after the first
	// notice.
	cancelNoticeRepeat = 1500 * time.Millisecond
)

// handleEnd stops following a job whose end is stored and notifies the owner of its cell.
// p.mu is held.
func (p *partition) handleEnd(e kept.EndedJob, now time.Duration) {
	if f := p.followers[e.ID]; f != nil {
		f.cancel()
		close(f.ended)
		delete(p.followers, e.ID)
		p.service.Log.Info("kept_ended", "job", e.ID, "route", f.job.Route, "cell", e.Cell, "outcome", e.State.String(), "took_ms", (now - f.job.Received).Milliseconds())
	}
	if e.State == kept.Cancelled || e.State == kept.Undetermined {
		go p.service.notifyCancelled(e)
		return
	}
	p.service.endNotices.add(e.Cell, e.ID, now+kept.EndNoticeDelay)
}

// notifyCancelled notifies the owner of a job's cell that the job must be stopped until it answers,
// and once more after cancelNoticeRepeat.
func (s *Service) notifyCancelled(e kept.EndedJob) {
	notice := OwnerNotice{Cell: e.Cell, IDs: []string{e.ID}, Cancelled: true}
	s.notifyUntilAnswered(notice)
	if common.Sleep(s.ctx, cancelNoticeRepeat) {
		s.notifyUntilAnswered(notice)
	}
}

// notifyUntilAnswered repeats a notice until the owner answers or notifyPeriod has passed.
func (s *Service) notifyUntilAnswered(notice OwnerNotice) {
	limit := s.Clock.Now() + notifyPeriod
	for s.Clock.Now() < limit {
		if s.notifyOwner(notice) {
			return
		}
		if !common.Sleep(s.ctx, notifyRetryPause) {
			return
		}
	}
	s.Log.Warn("kept_owner_not_told", "cell", notice.Cell, "jobs", len(notice.IDs), "cancelled", notice.Cancelled)
}

// notifyOwner sends a notice once and reports whether the owner answered.
func (s *Service) notifyOwner(notice OwnerNotice) bool {
	ctx, cancel := context.WithTimeout(s.ctx, notifyTimeout)
	defer cancel()
	_, ok := s.host.NotifyOwner(ctx, notice)
	return ok
}
