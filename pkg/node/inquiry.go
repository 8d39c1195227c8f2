package node

import (
	"context"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
)

// Reasons for the end of an isolation.
const (
	endedByContact         = "contact"          // this host reaches another one of its domain again
	endedWithoutAnswer     = "no_answer"        // the store shows no sign of the others
	endedWithUnclearAnswer = "store_unreadable" // the store can't be asked whether the others live
)

// contactEvidence is what shows a host that is alone that another one lives.
type contactEvidence struct {
	kind member.Evidence
	by   string // the other host
}

// isolation is what was last logged of this host's isolation.
type isolation struct {
	isIsolated bool
	since      time.Duration   // when it began
	evidence   contactEvidence // since this host is alone
}

// isolationChange is the begin or the end of an isolation.
type isolationChange struct {
	began    bool
	evidence contactEvidence // of a begin
	reason   string          // of an end
	lasted   time.Duration
}

// updateIsolation asks in the store whether other hosts live, if this host can't tell by its links, and logs when
// an isolation begins or ends.
func (n *Node) updateIsolation(now time.Duration) {
	n.mu.Lock()
	mark, asks := n.members.NextQuestion(n.membersPosition, now)
	change := n.observeIsolation(now)
	n.mu.Unlock()
	n.logIsolation(change)
	if asks {
		go n.ask(mark)
	}
}

// observeIsolation returns how this host's isolation has changed since the last call, or nil. n.mu is held.
func (n *Node) observeIsolation(now time.Duration) *isolationChange {
	isAlone, isIsolated, known := n.members.IsAlone(), n.members.IsIsolated(now), &n.isolation
	if !isAlone {
		known.evidence = contactEvidence{}
	}
	if isIsolated == known.isIsolated {
		return nil
	}
	known.isIsolated = isIsolated
	if isIsolated {
		known.since = now
		return &isolationChange{began: true, evidence: known.evidence}
	}
	change := &isolationChange{reason: endedWithoutAnswer, lasted: now - known.since}
	switch {
	case !isAlone:
		change.reason = endedByContact
	case n.membersReadFails.Load() || n.questionFails.Load():
		change.reason = endedWithUnclearAnswer
	}
	return change
}

func (n *Node) logIsolation(change *isolationChange) {
	switch {
	case change == nil:
	case change.began:
		n.Log.Warn("host_isolated", "domain", n.settings.Domain, "evidence", change.evidence.kind.String(), "by", change.evidence.by)
	default:
		n.Log.Warn("isolation_ended", "reason", change.reason, "isolated_ms", change.lasted.Milliseconds())
	}
}

// ask writes a question into this node's row.
func (n *Node) ask(question member.ContactMark) {
	n.questionFails.Store(!n.announceMark(context.Background(), question))
}

// announceMark writes this node's row with a mark and reports whether it succeeded.
func (n *Node) announceMark(ctx context.Context, mark member.ContactMark) bool {
	row := n.ownRow()
	row.Contact = mark
	return n.announceRow(ctx, row)
}

// handleMarks takes the marks of changed rows: they may show that others live, or ask for an answer.
func (n *Node) handleMarks(changes MemberChanges) {
	marked := slices.DeleteFunc(slices.Clone(changes.Listed), func(row Member) bool { return row.Contact == member.ContactMark{} })
	if len(marked) == 0 {
		return
	}
	ofDomain := slices.DeleteFunc(slices.Clone(marked), func(row Member) bool {
		return row.Domain != n.settings.Domain || row.Name == n.settings.Name
	})
	n.mu.Lock()
	now := n.Clock.Now()
	confirmed := n.takeMarks(ofDomain, changes.Position, now)
	domains := n.takeDomainMarks(marked, now)
	change := n.observeIsolation(now)
	toOwn := slices.ContainsFunc(ofDomain, func(row Member) bool {
		return row.Contact.Asks > 0 && n.members.ShouldAnswer(row.Name, n.cannotAnswer, now)
	})
	toDomains := slices.ContainsFunc(marked, func(row Member) bool {
		return row.Contact.AsksDomains > 0 && row.Domain != n.settings.Domain && n.members.ShouldAnswerDomain(n.cannotAnswer, now)
	})
	answer := n.members.Answer(changes.Position, toOwn, toDomains)
	n.mu.Unlock()
	for _, evidence := range confirmed {
		n.Log.Info("others_confirmed", "evidence", evidence.kind.String(), "by", evidence.by)
	}
	domains.log(n)
	n.logIsolation(change)
	if toOwn || toDomains {
		go n.announceMark(context.Background(), answer)
	}
}

// domainEvidence is what marks show of other domains about which this host asks.
type domainEvidence struct {
	lost []string          // they have not answered
	live map[string]string // hosts that show for the first time that their domains live, by domain
}

func (e *domainEvidence) log(n *Node) {
	for _, domain := range e.lost {
		n.Log.Warn("domain_counts_as_lost", "domain", domain)
	}
	for domain, by := range e.live {
		n.Log.Info("domain_lives", "domain", domain, "by", by)
	}
}

// takeDomainMarks records what marks show of other domains. Those of the domains come first, as they may have been
// written before the question that is read back with them. n.mu is held.
func (n *Node) takeDomainMarks(marked []Member, now time.Duration) domainEvidence {
	evidence := domainEvidence{live: map[string]string{}}
	for _, row := range marked {
		if n.members.HandleDomainMark(row.Domain, row.Contact) {
			evidence.live[row.Domain] = row.Name
		}
	}
	for _, row := range marked {
		if row.Name == n.settings.Name {
			evidence.lost = n.members.HandleOwnMark(row.Contact, now)
		}
	}
	return evidence
}

// takeMarks records what marks show, and returns the evidence that others live where its kind has changed. n.mu
// is held.
func (n *Node) takeMarks(marked []Member, position uint64, now time.Duration) []contactEvidence {
	var changed []contactEvidence
	for _, row := range marked {
		evidence := contactEvidence{kind: n.members.HandleMark(row.Name, row.Contact, position, now), by: row.Name}
		if evidence.kind == member.NoEvidence {
			continue
		}
		n.contactChanged()
		if n.isolation.evidence.kind != evidence.kind { // two hosts answer, in any order
			n.isolation.evidence = evidence
			changed = append(changed, evidence)
		}
	}
	return changed
}

// isAlone reports whether this host reaches no other one of its domain.
func (n *Node) isAlone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.IsAlone()
}

// asksDomains reports whether this host asks in the store whether hosts of other domains live.
func (n *Node) asksDomains() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.AsksDomains()
}

// cannotAnswer reports whether a host has said that it can't read the store, or is of a build that doesn't
// answer. n.mu is held.
func (n *Node) cannotAnswer(peer member.Peer) bool {
	return n.storeUnreachable[peer.Address] || !n.memberRows[peer.Name].Answers
}
