package openjobs

import (
	"slices"
	"time"
)

// retryInterval is how soon a front that gave no final answer is asked again. The job does
// not start before, so it bounds the delay that this adds for the caller.
const retryInterval = 100 * time.Millisecond

// replyTTL is how long an Unreachable reply is valid. While another host is slow to reply,
// the front may become reachable again and hand its job to an owner after ResyncDelay,
// which is longer.
const replyTTL = 200 * time.Millisecond

// Verdict is the result of asking a host about a front.
type Verdict uint8

// Verdicts. There is none for a job that has ended, as its search is over.
const (
	Unanswered  Verdict = iota
	NotOpen             // the front doesn't hold the job open
	Unreachable         // the host is of the front's domain, and can't reach the front either
	Yields              // the front searches for the job too, and lets the asker go first
	Busy                // the front is alive, and has to be asked again
)

// Reply is the answer of one host.
type Reply struct {
	Verdict   Verdict
	At        time.Duration
	RunsEndBy time.Duration // no run of the job can be alive then, if NotOpen, Yields or Unreachable
}

// Search looks for the front that holds an earlier submission of a job open. In each round
// it asks every front that may do so. It is over when the job has ended at one of them, or
// when no run of an earlier submission can be alive.
type Search struct {
	id                  string
	checked             map[Front]bool          // fronts that were asked in this round, or are known to have closed the job
	yieldedTo           map[string]bool         // addresses of fronts that may go first; their replies from before are outdated
	resolvedRunsEndBy   time.Duration           // no run can be alive then of fronts that gave a final answer
	unresolvedRunsEndBy time.Duration           // the same for fronts that gave none in this round
	unreachableSince    map[Front]time.Duration // by front that can't be asked
}

// NewSearch begins a search for a job. No run of it that this host managed itself can be
// alive at runsEndBy.
func NewSearch(id string, runsEndBy time.Duration) *Search {
	return &Search{id: id, resolvedRunsEndBy: runsEndBy, checked: map[Front]bool{}, yieldedTo: map[string]bool{}, unreachableSince: map[Front]time.Duration{}}
}

// Round begins a round and returns the entries of the fronts to ask.
func (s *Search) Round(t *Table, now time.Duration) []Entry {
	s.unresolvedRunsEndBy = 0
	clear(s.checked)
	clear(s.yieldedTo)
	var asked []Entry
	for _, e := range t.Find(s.id, now) {
		if e.closed {
			s.checked[e.Front] = true
			s.resolvedRunsEndBy = max(s.resolvedRunsEndBy, e.ExpiresAt)
			continue
		}
		asked = append(asked, e)
	}
	return asked
}

// HandleReplies records the replies about a front, by all contacts up to the first with a
// final answer. isUp says that the link to the front itself is up. If several hosts can't
// reach the front, the one that lost it last counts: the others may have been cut off from
// it while it was running.
func (s *Search) HandleReplies(t *Table, e Entry, replies []Reply, vantage Vantage, isUp bool, now time.Duration) {
	s.checked[e.Front] = true
	if slices.ContainsFunc(replies, func(r Reply) bool { return r.Verdict == Busy }) {
		t.extend(e.ID, e.Front, now)
	}
	if known := t.entry(e.ID, e.Front); known != nil {
		e.ExpiresAt = known.ExpiresAt // the front may have announced the job again meanwhile
	}
	runsEndBy := time.Duration(0)
	for _, reply := range replies {
		switch reply.Verdict {
		case NotOpen, Yields:
			if reply.Verdict == NotOpen && !s.yieldedTo[e.Front.Address] {
				t.MarkClosed(e.ID, e.Front, reply.RunsEndBy, now)
			}
			s.resolvedRunsEndBy = max(s.resolvedRunsEndBy, reply.RunsEndBy)
			return
		case Unreachable:
			runsEndBy = max(runsEndBy, reply.RunsEndBy)
			isUp = isUp || now > reply.At+replyTTL
		case Busy:
			isUp = true
		}
	}
	if isUp {
		delete(s.unreachableSince, e.Front)
		s.unresolvedRunsEndBy = max(s.unresolvedRunsEndBy, e.ExpiresAt)
		return
	}
	if _, known := s.unreachableSince[e.Front]; !known {
		s.unreachableSince[e.Front] = now
	}
	if vantage.SameDomain {
		runsEndBy = max(runsEndBy, t.RunsEndBy(e, s.unreachableSince[e.Front]))
	}
	if runsEndBy == 0 { // no host can tell a dead front from a domain that is cut off
		runsEndBy = e.ExpiresAt
	}
	s.unresolvedRunsEndBy = max(s.unresolvedRunsEndBy, min(runsEndBy, e.ExpiresAt))
}

// Next reports whether the job may start after a round, and otherwise when the next round
// is due: at once if another front has announced the job meanwhile.
func (s *Search) Next(t *Table, now time.Duration) (at time.Duration, mayStart bool) {
	isNew := func(e Entry) bool { return !s.checked[e.Front] }
	switch {
	case slices.ContainsFunc(t.Find(s.id, now), isNew):
		return now, false
	case len(s.yieldedTo) > 0:
		return now + retryInterval, false
	case now < s.unresolvedRunsEndBy:
		return min(s.unresolvedRunsEndBy, now+retryInterval), false
	case now < s.resolvedRunsEndBy:
		return s.resolvedRunsEndBy, false
	}
	return now, true
}

// ShouldYield reports whether this search lets another front go first, which searches for
// the job too and asks about it. It does only if it knows of that front, and so will ask it
// again before it starts the job. An asker that has handed the job to an owner before
// (follows) always goes first.
func (s *Search) ShouldYield(t *Table, asker Front, self string, follows bool, now time.Duration) bool {
	isAsker := func(e Entry) bool {
		return !e.closed && e.Front.Address == asker.Address && e.Front.Process == asker.Process
	}
	known := t.Find(s.id, now)
	at := slices.IndexFunc(known, isAsker)
	if at < 0 || (asker.Address > self && !follows) {
		return false
	}
	t.extend(s.id, known[at].Front, now)
	s.yieldedTo[asker.Address] = true
	return true
}
