package peer

import (
	"context"
	"time"
)

// livenessMonitor decides whether the peer of one connection is unresponsive. Before
// it gives the peer up, it probes it on another connection: a connection can stop
// carrying data while its peer works.
type livenessMonitor struct {
	link      *Link
	lastCheck time.Duration
	lastLimit time.Duration
	probe     chan *session // receives the result of the probe under way; nil when there is none
	probed    bool          // a probe has failed since the peer was last responsive
}

// isPeerLost reports whether nothing arrived from the peer of a session for longer than
// the suspect timeout. After a part of that time it starts a probe.
func (w *livenessMonitor) isPeerLost(s *session, slowdown time.Duration) bool {
	l := w.link
	suspectAfter := slowdown * l.settings.SuspectAfter
	// An interval that was allowed under the former limit does not count as too long.
	limit := max(suspectAfter, w.lastLimit)
	w.lastLimit = suspectAfter
	now := l.Clock.Now()
	// Time in which this process was paused does not count against the peer.
	if gap := now - w.lastCheck; gap > limit {
		l.Log.Warn("paused", "gap", gap.String())
		s.lastReceived.Store(int64(now))
	}
	w.lastCheck = now
	unresponsiveFor := now - time.Duration(s.lastReceived.Load())
	if unresponsiveFor <= time.Duration(probeFraction*float64(limit)) {
		w.probed = false
		return false
	}
	if w.probe == nil && !w.probed {
		w.startProbe(s)
		return false
	}
	if unresponsiveFor <= limit || w.probe != nil {
		return false // the result of the probe comes soon
	}
	l.Log.Warn("peer_silent", "silence", unresponsiveFor.String())
	return true
}

// startProbe tries another connection in the background.
func (w *livenessMonitor) startProbe(s *session) {
	result := make(chan *session, 1)
	w.probe = result
	go func() { result <- w.link.resume(s) }()
}

// probeFailed records that the probe under way has failed.
func (w *livenessMonitor) probeFailed() {
	w.probe = nil
	w.probed = true
	w.link.Nudge() // so that the peer is checked again at once
}

// replacement returns the session to continue with after the connection of s has
// ended, or nil when the peer is lost.
func (w *livenessMonitor) replacement(ctx context.Context, s *session) *session {
	if ctx.Err() != nil {
		w.abandon()
		return nil
	}
	if w.probe != nil {
		return <-w.probe
	}
	return w.link.resume(s)
}

// abandon closes the session that a probe under way may open.
func (w *livenessMonitor) abandon() {
	if w.probe == nil {
		return
	}
	result := w.probe
	go func() {
		if next := <-result; next != nil {
			next.close()
		}
	}()
}
