package keeping

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// An isolated host may follow a job whose cell the others consider removed. Owners drop a
// kept job some seconds after the last coordinator has asked for it, and leases end soon
// after that. So a coordinator that reaches less than half of the hosts, and has had no
// answer from the store for isolationTimeout, stops dispatching. Before the others move a job
// to another cell they wait until its own is vacant (Host.VacancyObstacle), or, where hosts of
// earlier builds may own it, for cellRemovalDelay, which is longer than isolationTimeout, the
// owner's delay and a lease together (6 s + 8 s + 1.5 s).
const (
	isolationTimeout = 6 * time.Second
	cellRemovalDelay = 18 * time.Second
	// probeInterval is how often a host that reaches less than half of the others checks
	// whether the store answers.
	probeInterval = time.Second
	probeID       = "probe" // no job has this id
)

// storeReach records when the store last answered. The time at which this host last reached
// at least half of the hosts counts as such an answer, because it does not probe the store
// then.
type storeReach struct {
	answered atomic.Int64 // time of this process's clock
	isolated atomic.Bool  // this host dispatches nothing
}

// recordAnswer records that the store answered, or need not be probed, at now.
func (r *storeReach) recordAnswer(now time.Duration) { r.answered.Store(int64(now)) }

// isUnresponsive reports whether the store has not answered for isolationTimeout.
func (r *storeReach) isUnresponsive(now time.Duration) bool {
	return now > time.Duration(r.answered.Load())+isolationTimeout
}

// watchIsolation determines whether this host is isolated, until ctx ends. It probes the
// store only while this host reaches less than half of the hosts.
func (s *Service) watchIsolation(ctx context.Context) {
	s.storeReach.recordAnswer(s.Clock.Now())
	for common.Sleep(ctx, probeInterval) {
		if !s.host.SeesMinority() {
			s.storeReach.recordAnswer(s.Clock.Now())
			s.setIsolated(false)
			continue
		}
		s.probe(ctx)
		s.setIsolated(s.storeReach.isUnresponsive(s.Clock.Now()))
	}
}

// probe reads a row, which need not exist, to check that the store answers.
func (s *Service) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := s.readRow(ctx, kept.TableOpen, probeID); err != nil {
		s.Log.Warn("kept_store_out_of_reach", "error", err.Error())
		return
	}
	s.storeReach.recordAnswer(s.Clock.Now())
}

// setIsolated records whether this host is isolated. An isolated host asks owners for
// nothing, so dispatches in flight are cancelled.
func (s *Service) setIsolated(isolated bool) {
	if s.storeReach.isolated.Swap(isolated) == isolated {
		return
	}
	s.Log.Warn("kept_cut_off", "cut_off", isolated, "open", s.Open())
	if !isolated {
		return
	}
	for _, p := range s.partitions {
		p.interrupt()
	}
}

// interrupt cancels the dispatches in flight. The jobs are still followed.
func (p *partition) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.followers {
		f.interrupt()
	}
}
