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

// isolationLog is what was last logged of this host's isolation.
type isolationLog struct {
	isIsolated bool
	since      time.Duration   // when the isolation began
	evidence   member.Evidence // that others live, since this host is alone
	by         string          // the host that gave it
}

// updateIsolation asks in the store whether other hosts of the domain live, if this host is alone, and logs
// when an isolation begins or ends.
func (n *Node) updateIsolation(now time.Duration) {
	n.mu.Lock()
	mark, asks := n.members.NextQuestion(n.membersPosition, now)
	n.logIsolation(now)
	n.mu.Unlock()
	if asks {
		go n.ask(mark)
	}
}

// logIsolation logs whether this host is isolated, if that has changed. n.mu is held.
func (n *Node) logIsolation(now time.Duration) {
	isAlone, isIsolated, known := n.members.IsAlone(), n.members.IsIsolated(now), &n.isolation
	if !isAlone {
		known.evidence, known.by = member.NoEvidence, ""
	}
	if isIsolated == known.isIsolated {
		return
	}
	known.isIsolated = isIsolated
	if isIsolated {
		known.since = now
		n.Log.Warn("host_isolated", "domain", n.settings.Domain, "evidence", known.evidence.String(), "by", known.by)
		return
	}
	reason := endedWithoutAnswer
	switch {
	case !isAlone:
		reason = endedByContact
	case n.membersReadFails.Load() || n.questionFails.Load():
		reason = endedWithUnclearAnswer
	}
	n.Log.Warn("isolation_ended", "reason", reason, "isolated_ms", (now - known.since).Milliseconds())
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
	marked := slices.DeleteFunc(slices.Clone(changes.Listed), func(row Member) bool {
		return row.Contact == member.ContactMark{} || row.Domain != n.settings.Domain || row.Name == n.settings.Name
	})
	if len(marked) > 0 && n.takeMarks(marked, changes.Position) {
		go n.announceMark(context.Background(), member.ContactMark{SeenUpTo: changes.Position})
	}
}

// takeMarks records what marks show, and reports whether this host should answer one of them.
func (n *Node) takeMarks(marked []Member, position uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	for _, row := range marked {
		evidence := n.members.HandleMark(row.Name, row.Contact, position, now)
		if evidence == member.NoEvidence {
			continue
		}
		n.contactChanged()
		if n.isolation.evidence != evidence || n.isolation.by != row.Name {
			n.isolation.evidence, n.isolation.by = evidence, row.Name
			n.Log.Info("others_confirmed", "evidence", evidence.String(), "by", row.Name)
		}
	}
	n.logIsolation(now)
	return slices.ContainsFunc(marked, func(row Member) bool {
		return row.Contact.Asks > 0 && n.members.ShouldAnswer(row.Name, n.cannotReadStore, now)
	})
}

// cannotReadStore reports whether the host at an address has said that it can't read the store. n.mu is held.
func (n *Node) cannotReadStore(address string) bool { return n.storeUnreachable[address] }
