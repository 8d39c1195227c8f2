package openjobs

import (
	"slices"
	"time"
)

// askAgain is how soon a front that can't be asked is looked for again. Nothing
// is started meanwhile, so it costs a caller that much at most.
const askAgain = 100 * time.Millisecond

// replyLife is how long it counts that a host has lost a front. Another one that is asked
// meanwhile may hang, and the front may be back: it goes on after ResyncDelay, which is more.
const replyLife = 200 * time.Millisecond

// Verdict is what came of asking a host for a front.
type Verdict uint8

// The verdicts. Where the job has ended there is none: the search is over.
const (
	Unanswered  Verdict = iota
	NotOpen             // the front doesn't hold the job open
	Unreachable         // the host is of the front's domain, and has lost it too
	Yields              // the front searches too, and lets the asker go first
	Busy                // the front lives, and is to be asked again
)

// Reply is the answer of one host.
type Reply struct {
	Verdict   Verdict
	At        time.Duration
	RunsEndBy time.Duration // no run of the job can be alive then, for NotOpen, Yields and Unreachable
}

// Search looks for the front that holds an earlier sending of a job open, in rounds
// in which each front that may do so is asked. It is over when one has, or when no
// run of an earlier sending can be alive.
type Search struct {
	id        string
	heard     map[Front]bool          // fronts that were asked in this round
	yielded   map[string]bool         // addresses of those that were let go first meanwhile: what they answered before is old
	settledAt time.Duration           // no run is alive then of those that fronts have answered for
	unheard   time.Duration           // the same of fronts that can't be asked, as of this round
	noticed   map[Front]time.Duration // since when they can't
}

// NewSearch begins a search for a job. No run of it that this host followed itself is
// alive at settledAt.
func NewSearch(id string, settledAt time.Duration) *Search {
	return &Search{id: id, settledAt: settledAt, heard: map[Front]bool{}, yielded: map[string]bool{}, noticed: map[Front]time.Duration{}}
}

// Round begins a round and returns the fronts to ask.
func (s *Search) Round(t *Table, now time.Duration) []Entry {
	s.unheard = 0
	clear(s.heard)
	clear(s.yielded)
	var asked []Entry
	for _, e := range t.Find(s.id, now) {
		if e.closed {
			s.heard[e.Front] = true
			s.settledAt = max(s.settledAt, e.ExpiresAt)
			continue
		}
		asked = append(asked, e)
	}
	return asked
}

// HandleReplies takes what asking for a front has brought, by all ways up to the first that
// settled it. isUp says that the link to the front itself is up. Of several hosts that
// have lost the front the last one to do so counts: the others may have been cut off
// from it while it was well.
func (s *Search) HandleReplies(t *Table, e Entry, replies []Reply, sight Vantage, isUp bool, now time.Duration) {
	s.heard[e.Front] = true
	if slices.ContainsFunc(replies, func(r Reply) bool { return r.Verdict == Busy }) {
		t.prolong(e.ID, e.Front, now)
	}
	if known := t.entry(e.ID, e.Front); known != nil {
		e.ExpiresAt = known.ExpiresAt // it may have told more while it was asked
	}
	overAt := time.Duration(0)
	for _, reply := range replies {
		switch reply.Verdict {
		case NotOpen, Yields:
			if reply.Verdict == NotOpen && !s.yielded[e.Front.Address] {
				t.MarkClosed(e.ID, e.Front, reply.RunsEndBy, now)
			}
			s.settledAt = max(s.settledAt, reply.RunsEndBy)
			return
		case Unreachable:
			overAt = max(overAt, reply.RunsEndBy)
			isUp = isUp || now > reply.At+replyLife
		case Busy:
			isUp = true
		}
	}
	if isUp {
		delete(s.noticed, e.Front)
		s.unheard = max(s.unheard, e.ExpiresAt)
		return
	}
	if _, noted := s.noticed[e.Front]; !noted {
		s.noticed[e.Front] = now
	}
	if sight.SameDomain {
		overAt = max(overAt, t.RunsEndBy(e, s.noticed[e.Front]))
	}
	if overAt == 0 { // nobody can tell a front that is gone from a domain that is cut off
		overAt = e.ExpiresAt
	}
	s.unheard = max(s.unheard, min(overAt, e.ExpiresAt))
}

// Next reports whether the job may start after a round, and otherwise when the next
// round is due: at once when a front has told of the job meanwhile.
func (s *Search) Next(t *Table, now time.Duration) (at time.Duration, mayStart bool) {
	isNew := func(e Entry) bool { return !s.heard[e.Front] }
	switch {
	case slices.ContainsFunc(t.Find(s.id, now), isNew):
		return now, false
	case len(s.yielded) > 0:
		return now + askAgain, false
	case now < s.unheard:
		return min(s.unheard, now+askAgain), false
	case now < s.settledAt:
		return s.settledAt, false
	}
	return now, true
}

// ShouldYield decides whether this search, about which another front asks that looks for the
// job too, lets that one go first: it does when it knows of that one, and so is going to
// ask it again before it starts the job. One that follows the job already always goes
// first.
func (s *Search) ShouldYield(t *Table, asker Front, self string, follows bool, now time.Duration) bool {
	isAsker := func(e Entry) bool {
		return !e.closed && e.Front.Address == asker.Address && e.Front.Process == asker.Process
	}
	known := t.Find(s.id, now)
	at := slices.IndexFunc(known, isAsker)
	if at < 0 || (asker.Address > self && !follows) {
		return false
	}
	t.prolong(s.id, known[at].Front, now)
	s.yielded[asker.Address] = true
	return true
}
