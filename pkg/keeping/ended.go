package keeping

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// Pauses of telling owners of the ends of jobs.
const (
	tellPause = 300 * time.Millisecond
	// tellFor is how long an owner is looked for, until it forgets by itself.
	tellFor = 20 * time.Second
	// tellAgain is when a cancelled job is told once more: another keeper may have
	// handed it to the owner that came after the one that was told.
	tellAgain = 1500 * time.Millisecond
)

// ended takes that the end of a job lasts, and tells the owner of its cell. p.mu is held.
func (p *partition) ended(e kept.EndedJob, now time.Duration) {
	if f := p.followers[e.ID]; f != nil {
		f.cancel()
		close(f.over)
		delete(p.followers, e.ID)
		p.service.Log.Info("kept_ended", "job", e.ID, "route", f.job.Route, "cell", e.Cell, "outcome", e.State.String(), "took_ms", (now - f.job.Received).Milliseconds())
	}
	if e.State == kept.Cancelled {
		go p.service.tellCancelled(e)
		return
	}
	p.service.notes.add(e.Cell, e.ID, now+kept.EndNoticeDelay)
}

// tellCancelled tells the owner of a job's cell that it was cancelled until it has
// heard so, and once more a while later.
func (s *Service) tellCancelled(e kept.EndedJob) {
	word := OwnerNotice{Cell: e.Cell, IDs: []string{e.ID}, Cancelled: true}
	s.tellUntilHeard(word)
	if common.Sleep(s.ctx, tellAgain) {
		s.tellUntilHeard(word)
	}
}

// tellUntilHeard tells an owner something until it has answered.
func (s *Service) tellUntilHeard(word OwnerNotice) {
	limit := s.Clock.Now() + tellFor
	for s.Clock.Now() < limit {
		if s.tell(word) {
			return
		}
		if !common.Sleep(s.ctx, tellPause) {
			return
		}
	}
	s.Log.Warn("kept_owner_not_told", "cell", word.Cell, "jobs", len(word.IDs), "cancelled", word.Cancelled)
}

func (s *Service) tell(word OwnerNotice) bool {
	ctx, cancel := context.WithTimeout(s.ctx, tellTime)
	defer cancel()
	_, ok := s.host.NotifyOwner(ctx, word)
	return ok
}
