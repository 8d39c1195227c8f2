package member

import "time"

// A host that is alone can't tell by its links whether it is cut off from the others of its domain or has
// outlived them. The platform's store may still connect them: the host asks there, by a mark in its own
// row, and hosts of its domain answer by a mark in theirs.

const (
	// askInterval is how often an isolated host asks. Two questions may fail within IsolationLimit.
	askInterval = time.Second
	// aloneAskInterval is how often a host asks that serves as the only one of its domain. The others may
	// live, and start to reach the store again.
	aloneAskInterval = 5 * time.Second
	// firstAskAfter is how long a host waits before its first question, as its links may be about to come up.
	firstAskAfter = 200 * time.Millisecond
	// maxTurn is within which time the hosts of a domain ask that are cut off at once. They do so one
	// after the other, so that a question of the first one, or its answer, reaches the others before.
	maxTurn = time.Second
	// answerers is how many hosts that reach each other answer. It is more than one, because one of them
	// may not reach the store.
	answerers = 2
)

// ContactMark is the part of a host's row that other hosts of its domain may go by while they are alone.
type ContactMark struct {
	Asks     uint64 // the number of its question whether others live; 0: it doesn't ask
	SeenUpTo uint64 // it isn't isolated, and has read the rows up to this position in the store's history; 0: not told

	// Hosts of other domains go by these, see domainInquiry.
	AsksDomains uint64 // the number of its question whether hosts of other domains live; 0: it doesn't ask
	LivesUpTo   uint64 // it was running when it had read the rows up to this position, whether or not it is isolated; 0: not told
}

// Evidence is what shows a host that is alone that others of its domain live.
type Evidence uint8

const (
	NoEvidence  Evidence = iota
	OtherServes          // another host isn't isolated
	// OtherAsksFirst: another host is isolated too, and comes before this one. Where all hosts are cut off
	// from each other, the first one serves.
	OtherAsksFirst
)

// String returns the name that logs use.
func (e Evidence) String() string { return [...]string{"none", "other_serves", "other_asks_first"}[e] }

// inquiry is the state of a host's questions while it is alone.
type inquiry struct {
	isOpen bool
	mark   ContactMark   // the last question
	asked  uint64        // number of the last question
	since  uint64        // marks count that were written after this position in the store's history had been read
	nextAt time.Duration // of the next question
}

// openInquiry begins to ask, unless this host does so already. position is that in the store's history up
// to which it has read the rows.
func (t *Table) openInquiry(position uint64, now time.Duration) {
	if !t.inquiry.isOpen {
		t.inquiry = inquiry{isOpen: true, asked: t.inquiry.asked, since: position, nextAt: now + firstAskAfter + t.turn()}
	}
}

// turn returns how long this host leaves the others that may be alone to ask before it.
func (t *Table) turn() time.Duration {
	hosts := t.domains[t.self.Domain]
	before := 0
	for _, host := range hosts {
		if host.Name < t.self.Name {
			before++
		}
	}
	return maxTurn * time.Duration(before) / time.Duration(max(len(hosts), maxMeshSize))
}

// NextQuestion returns the mark to write into this host's row if it should ask now whether others live: of its
// own domain, if it is alone, or of the domains of AskAbout. position is that in the store's history up to which
// it has read the rows; 0 before that.
func (t *Table) NextQuestion(position uint64, now time.Duration) (ContactMark, bool) {
	mark, asks := t.nextQuestion(position, now)
	if t.nextDomainQuestion(position, now) {
		asks = true
		if t.inquiry.isOpen {
			mark = t.inquiry.mark // so that this question doesn't overwrite it unread
		}
	}
	if !asks {
		return ContactMark{}, false
	}
	return t.withDomainQuestion(mark), true
}

// nextQuestion is NextQuestion for the own domain.
func (t *Table) nextQuestion(position uint64, now time.Duration) (ContactMark, bool) {
	if position == 0 || t.self.Leaving || !t.IsAlone() {
		t.inquiry.isOpen = false
		return ContactMark{}, false
	}
	t.openInquiry(position, now)
	if now < t.inquiry.nextAt {
		return ContactMark{}, false
	}
	t.inquiry.asked++
	t.inquiry.since = position
	mark, interval := ContactMark{Asks: t.inquiry.asked}, askInterval
	if !t.IsIsolated(now) {
		mark.SeenUpTo, interval = position, aloneAskInterval
	}
	t.inquiry.mark, t.inquiry.nextAt = mark, now+interval
	return mark, true
}

// HandleMark takes the mark of a row that another host of this domain has written, and returns what it
// shows if this host is alone. position is that in the store's history up to which this host has now read
// the rows.
func (t *Table) HandleMark(name string, mark ContactMark, position uint64, now time.Duration) Evidence {
	if !t.IsAlone() {
		return NoEvidence
	}
	t.openInquiry(position, now)
	evidence := t.evidenceOf(name, mark, now)
	if evidence != NoEvidence {
		t.confirmedAt = now
		t.inquiry.since, t.inquiry.nextAt = position, now+askInterval+t.turn()
	}
	return evidence
}

// evidenceOf returns what a mark shows. A host that serves alone goes by hosts that serve only, as it is
// the one that serves if all others are isolated.
func (t *Table) evidenceOf(name string, mark ContactMark, now time.Duration) Evidence {
	switch {
	case mark.SeenUpTo > 0 && mark.SeenUpTo >= t.inquiry.since:
		return OtherServes
	case mark.Asks > 0 && mark.SeenUpTo == 0 && name < t.self.Name && t.IsIsolated(now):
		return OtherAsksFirst
	}
	return NoEvidence
}

// ShouldAnswer reports whether this host answers the question of another one: it isn't isolated, and is
// one of the first hosts among those that reach each other. cannot reports that a host doesn't reach the
// store, or is of a build that doesn't answer.
func (t *Table) ShouldAnswer(asker string, cannot func(peer Peer) bool, now time.Duration) bool {
	return !t.IsIsolated(now) && t.isAnswerer(asker, cannot, now)
}

// isAnswerer reports whether this host is alone, or one of the first hosts among those that reach each other.
func (t *Table) isAnswerer(asker string, cannot func(peer Peer) bool, now time.Duration) bool {
	if t.self.Leaving || t.IsAlone() {
		return !t.self.Leaving
	}
	hubs := t.HubSnapshot(now)
	if !hubs.IsHub(t.self.Address, t.self.Domain) {
		return false
	}
	before := 0
	for address, peer := range t.up {
		if t.isOtherOfDomain(peer) && !peer.Leaving && peer.Name != asker && peer.Name < t.self.Name &&
			hubs.IsHub(address, peer.Domain) && !cannot(peer) {
			before++
		}
	}
	return before < answerers
}
