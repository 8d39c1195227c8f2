package peer

import (
	"context"
	"time"
)

// silenceWatch judges the silence on one connection. Before the peer is given
// up, another connection to it is tried: a connection can fall silent for good
// while its peer is well.
type silenceWatch struct {
	link      *Link
	lastTurn  time.Duration
	lastLimit time.Duration
	probe     chan *session // the result of the try that is under way; nil when none is
	probed    bool          // a try has failed in this silence
}

// lost reports whether the peer of a session has been silent for too long. It
// starts a try of another connection when the silence has lasted for a while.
func (w *silenceWatch) lost(s *session, slowdown time.Duration) bool {
	l := w.link
	suspectAfter := slowdown * l.settings.SuspectAfter
	// What was a good interval until now is no silence yet.
	limit := max(suspectAfter, w.lastLimit)
	w.lastLimit = suspectAfter
	now := l.Clock.Now()
	// A silence is the peer's only while this process was awake itself.
	if gap := now - w.lastTurn; gap > limit {
		l.Log.Warn("paused", "gap", gap.String())
		s.lastHeard.Store(int64(now))
	}
	w.lastTurn = now
	silence := now - time.Duration(s.lastHeard.Load())
	if silence <= time.Duration(probeShare*float64(limit)) {
		w.probed = false
		return false
	}
	if w.probe == nil && !w.probed {
		w.tryAnother(s)
		return false
	}
	if silence <= limit || w.probe != nil {
		return false // the try ends soon
	}
	l.Log.Warn("peer_silent", "silence", silence.String())
	return true
}

// tryAnother tries another connection in the background.
func (w *silenceWatch) tryAnother(s *session) {
	result := make(chan *session, 1)
	w.probe = result
	go func() { result <- w.link.resume(s) }()
}

// failed takes that the try that was under way has failed.
func (w *silenceWatch) failed() {
	w.probe = nil
	w.probed = true
	w.link.Nudge() // for the next look
}

// replacement returns the session to go on with after the connection of s has
// ended, or nil when the peer is lost.
func (w *silenceWatch) replacement(ctx context.Context, s *session) *session {
	if ctx.Err() != nil {
		w.abandon()
		return nil
	}
	if w.probe != nil {
		return <-w.probe
	}
	return w.link.resume(s)
}

// abandon closes what comes of a try that is under way.
func (w *silenceWatch) abandon() {
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
