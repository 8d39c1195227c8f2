package openjobs

import (
	"slices"
	"time"
)

// retryInterval is the longest time between two rounds of a search in which a front gave no
// final answer. The search ends only after a round, so the job may start by up to this time
// later than it could.
const retryInterval = 100 * time.Millisecond

// Verdict is the result of asking a host about a front.
type Verdict uint8

// Verdicts. There is none for a reply with the outcome of the job, which ends the search.
const (
	Unanswered Verdict = iota
	NotOpen            // the front doesn't hold the job open
	Yields             // the front searches for the job too, and lets the asker go first
	Busy               // no final answer: the front searches for the job itself, or the link to it broke; it counts as alive and is asked again
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return [...]string{Unanswered: "unanswered", NotOpen: "not_open", Yields: "yields", Busy: "busy"}[v]
}

// Reply is the answer of one host.
type Reply struct {
	Verdict   Verdict
	RunsEndBy time.Duration // when none of the front's runs of the job can be alive any more, if NotOpen or Yields
}

// Search looks for the front that holds an earlier submission of a job open. In each round
// it asks every front that may do so. It is over when the job has ended at one of them, or
// when no run of an earlier submission can be alive: by the front's own answer, or when the time
// is over that it has announced. That hosts can't reach a front is no evidence. A front that is
// cut off from them, or slow, goes on renewing its job at an owner that it reaches, which may be
// its own host.
type Search struct {
	id                  string
	checked             map[Front]bool  // fronts that were asked in this round, or are known to have closed the job
	yieldedTo           map[string]bool // addresses of fronts that this search let go first in this round; a NotOpen reply from before doesn't close their entries
	resolvedRunsEndBy   time.Duration   // when no run of this host, or of a front that gave a final answer, can be alive any more
	unresolvedRunsEndBy time.Duration   // the same for fronts that gave no final answer in this round

	roundAt time.Duration // when this round began
	asked   Asked
}

// NewSearch begins a search for a job. runsEndBy is when the runs of an earlier submission
// to this front itself can't be alive any more; 0 if there are none.
func NewSearch(id string, runsEndBy time.Duration) *Search {
	return &Search{id: id, resolvedRunsEndBy: runsEndBy, checked: map[Front]bool{}, yieldedTo: map[string]bool{}, asked: Asked{}}
}

// Round begins a round and returns the entries of the fronts to ask.
func (s *Search) Round(t *Table, now time.Duration) []Entry {
	s.unresolvedRunsEndBy, s.roundAt = 0, now
	clear(s.checked)
	clear(s.yieldedTo)
	var asked []Entry
	for _, e := range t.Find(s.id, now) {
		if e.closed {
			s.checked[e.Front] = true
			s.asked.add(e.Front, e.closedAt)
			s.resolvedRunsEndBy = max(s.resolvedRunsEndBy, e.ExpiresAt)
			continue
		}
		asked = append(asked, e)
	}
	return asked
}

// HandleReplies records the replies about one front. The contacts are asked in turn until
// one gives a final answer (NotOpen or Yields); replies holds the answers of all that were
// asked.
func (s *Search) HandleReplies(t *Table, e Entry, replies []Reply, now time.Duration) {
	s.checked[e.Front] = true
	for _, reply := range replies {
		switch reply.Verdict {
		case NotOpen, Yields:
			if reply.Verdict == NotOpen && !s.yieldedTo[e.Front.Address] {
				t.MarkClosed(e.ID, e.Front, reply.RunsEndBy, s.roundAt, now)
			}
			s.asked.add(e.Front, s.roundAt)
			s.resolvedRunsEndBy = max(s.resolvedRunsEndBy, reply.RunsEndBy)
			return
		case Busy:
			t.extend(e.ID, e.Front, now)
		case Unanswered:
		}
	}
	if known := t.entry(e.ID, e.Front); known != nil {
		e.ExpiresAt, e.recordedAt = known.ExpiresAt, known.recordedAt // the front may have announced the job again meanwhile
	}
	s.asked.add(e.Front, e.recordedAt) // no run of what it has announced is alive when the search is over
	s.unresolvedRunsEndBy = max(s.unresolvedRunsEndBy, e.ExpiresAt)
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

// Asked returns the fronts that the search has asked, once it is over.
func (s *Search) Asked() Asked { return s.asked }

// ShouldYield reports whether this search lets another front go first, which searches for
// the job too and asks this one about it. This search yields only to a front of which it
// has an open entry, since it then asks that front again before it starts the job. It yields
// to an asker with a lower address, and to any asker that has handed the job to an owner
// before (follows).
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
	delete(s.asked, known[at].Front)
	return true
}
