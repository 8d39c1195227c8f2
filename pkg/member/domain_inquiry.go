package member

import "time"

// A host that reaches less than half of the hosts, and none of another domain, can't tell by its links whether
// it is cut off from that domain or has outlived its hosts. It asks in the platform's store, by a mark in its
// own row, and running hosts of the domain answer by a mark in theirs. The domain counts as lost once nobody has
// answered for domainAnswerTimeout.

const (
	// domainAnswerTimeout is how long hosts of another domain have to answer, from when the asker has read its
	// first question back until it has read a later one back. The store orders all rows, so that an answer
	// within that time is read before the later question. It covers the slowest reading interval of the hosts
	// that answer, and several questions.
	domainAnswerTimeout = 2 * time.Second
	// lostDomainAskInterval is how often a host asks about domains all of which count as lost.
	lostDomainAskInterval = 5 * time.Second
)

// domainInquiry is the state of a host's questions whether hosts of other domains live.
type domainInquiry struct {
	asked   uint64                    // number of the last question
	since   uint64                    // answers count that were written after this position in the store's history had been read
	nextAt  time.Duration             // of the next question
	first   uint64                    // number of the first question since it asks
	domains map[string]*domainSilence // the domains that it asks about; empty: it doesn't ask
}

// domainSilence is since when a domain has not answered.
type domainSilence struct {
	since     time.Duration // when a question was first read back after the last sign of life; 0: none was
	concludes uint64        // the number of the first question that was asked domainAnswerTimeout later; 0: none was
	isLost    bool          // that question has been read back
	answered  bool          // the last thing known of the domain is a sign of life
}

// AskAbout sets the other domains about which this host asks. position is that in the store's history up to
// which it has read the rows.
func (t *Table) AskAbout(domains []string, position uint64, now time.Duration) {
	q := &t.domainInquiry
	former := q.domains
	if len(former) == 0 {
		q.since, q.first, q.nextAt = position, q.asked+1, now+firstAskAfter
	}
	q.domains = make(map[string]*domainSilence, len(domains))
	for _, domain := range domains {
		if q.domains[domain] = former[domain]; q.domains[domain] == nil {
			q.domains[domain] = &domainSilence{}
		}
	}
}

// nextDomainQuestion reports whether this host should ask now about other domains. In a large system an isolated
// host doesn't, as all hosts may be cut off from each other.
func (t *Table) nextDomainQuestion(position uint64, now time.Duration) bool {
	q := &t.domainInquiry
	if position == 0 || t.self.Leaving || len(q.domains) == 0 || now < q.nextAt || len(t.listed) > maxMeshSize && t.IsIsolated(now) {
		return false
	}
	q.asked++
	q.nextAt = now + lostDomainAskInterval
	for _, silence := range q.domains {
		if silence.since > 0 && silence.concludes == 0 && now >= silence.since+domainAnswerTimeout {
			silence.concludes = q.asked
		}
		q.nextAt = min(q.nextAt, silence.nextQuestionAt(now))
	}
	return true
}

// nextQuestionAt returns when to ask about the domain again after a question at now.
func (s *domainSilence) nextQuestionAt(now time.Duration) time.Duration {
	switch {
	case s.isLost:
		return now + lostDomainAskInterval
	case s.since > 0 && s.concludes == 0:
		return min(now+askInterval, s.since+domainAnswerTimeout)
	}
	return now + askInterval
}

// withDomainQuestion adds the last question about other domains to a mark, if it is open.
func (t *Table) withDomainQuestion(mark ContactMark) ContactMark {
	if len(t.domainInquiry.domains) > 0 {
		mark.AsksDomains = t.domainInquiry.asked
	}
	return mark
}

// HandleOwnMark takes the mark of this host's own row, which it has read back. It returns the domains that count
// as lost from now on.
func (t *Table) HandleOwnMark(mark ContactMark, now time.Duration) []string {
	q := &t.domainInquiry
	if mark.AsksDomains == 0 || mark.AsksDomains < q.first {
		return nil
	}
	var lost []string
	for domain, silence := range q.domains {
		switch {
		case silence.since == 0:
			silence.since = now
			q.nextAt = min(q.nextAt, now+domainAnswerTimeout)
		case !silence.isLost && silence.concludes > 0 && mark.AsksDomains >= silence.concludes:
			silence.isLost, silence.answered = true, false
			lost = append(lost, domain)
		}
	}
	return lost
}

// HandleDomainMark takes the mark of a row of another domain, and reports whether it shows that a host lives there
// while nothing has shown so before.
func (t *Table) HandleDomainMark(domain string, mark ContactMark) bool {
	silence := t.domainInquiry.domains[domain]
	if silence == nil || max(mark.LivesUpTo, mark.SeenUpTo) < max(t.domainInquiry.since, 1) {
		return false
	}
	isNew := !silence.answered
	*silence = domainSilence{answered: true}
	return isNew
}

// LostDomains returns the other domains that have not answered this host, or nil if there are none.
func (t *Table) LostDomains() map[string]bool {
	var lost map[string]bool
	for domain, silence := range t.domainInquiry.domains {
		if !silence.isLost {
			continue
		}
		if lost == nil {
			lost = map[string]bool{}
		}
		lost[domain] = true
	}
	return lost
}

// AsksDomains reports whether this host asks about other domains.
func (t *Table) AsksDomains() bool { return len(t.domainInquiry.domains) > 0 }

// ShouldAnswerDomain reports whether this host answers a question that a host of another domain asks about other
// domains, isolated or not. That it reaches the asker doesn't show that the asker reaches it.
func (t *Table) ShouldAnswerDomain(cannot func(peer Peer) bool, now time.Duration) bool {
	return t.isAnswerer("", cannot, now)
}

// Answer returns the mark that answers others. position is that in the store's history up to which this host has
// read the rows; toDomains is whether hosts of other domains ask, and toOwn whether hosts of its own do.
func (t *Table) Answer(position uint64, toOwn, toDomains bool) ContactMark {
	mark := ContactMark{}
	if toOwn {
		mark.SeenUpTo = position
	}
	if toDomains {
		mark.LivesUpTo = position
	}
	return t.withDomainQuestion(mark)
}
