package keeping

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// A host that is cut off may follow a job whose cell the others take for lost. Owners
// drop a kept job 8 s after the last keeper has asked for it, and leases end within a
// second and a half of that. So a keeper that sees under half of the hosts and hasn't
// reached the store for cutOffTime stops asking, and the others wait for cellGoneTime
// before they have a job run elsewhere: 6 + 8 + 1.5 s, and some more.
const (
	cutOffTime   = 6 * time.Second
	cellGoneTime = 18 * time.Second
	// probePause is how often a host that sees under half of the others asks whether
	// the store answers.
	probePause = time.Second
	probeID    = "probe" // of a job that there can't be
)

// reach tells when the store has answered last.
type reach struct {
	answered atomic.Int64 // as a time of the clock
	cutOff   atomic.Bool
}

func (r *reach) note(now time.Duration) { r.answered.Store(int64(now)) }

// silent reports whether the store hasn't answered for too long.
func (r *reach) silent(now time.Duration) bool {
	return now > time.Duration(r.answered.Load())+cutOffTime
}

// runReach finds out whether this host is cut off, until ctx ends.
func (s *Service) runReach(ctx context.Context) {
	s.reach.note(s.Clock.Now())
	for common.Sleep(ctx, probePause) {
		if !s.host.SeesMinority() {
			s.reach.note(s.Clock.Now())
			s.setCutOff(false)
			continue
		}
		s.probe(ctx)
		s.setCutOff(s.reach.silent(s.Clock.Now()))
	}
}

// probe asks the store for a row that needn't be there.
func (s *Service) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if _, err := s.readRow(ctx, kept.TableOpen, probeID); err != nil {
		s.Log.Warn("kept_store_out_of_reach", "error", err.Error())
		return
	}
	s.reach.note(s.Clock.Now())
}

// setCutOff takes whether this host is cut off. It then asks owners for nothing.
func (s *Service) setCutOff(cutOff bool) {
	if s.reach.cutOff.Swap(cutOff) == cutOff {
		return
	}
	s.Log.Warn("kept_cut_off", "cut_off", cutOff, "open", s.Open())
	if !cutOff {
		return
	}
	for _, p := range s.partitions {
		p.interrupt()
	}
}

// interrupt ends the handovers under way, but doesn't stop following the jobs.
func (p *partition) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.followers {
		f.interrupt()
	}
}
