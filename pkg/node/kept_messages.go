package node

import (
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// onKeep handles another node's request to accept a kept job.
func (n *Node) onKeep(m *peerpb.Keep, reply peer.Reply) {
	if !n.servesKept {
		reply(toKeptReply(keptNotServed), 0)
		return
	}
	j := jobwire.FromDispatch(m.Job, n.Clock.Now())
	j.Kept = true
	go func() { reply(toKeptReply(n.keeping.HandleKeep(m.Job.GetCell(), j, int(m.Hops))), 0) }()
}

// onKeptQuery handles another node's request for the state of a kept job, or to cancel it.
func (n *Node) onKeptQuery(m *peerpb.KeptQuery, reply peer.Reply) {
	go func() { reply(toKeptReply(n.keeping.HandleState(m.Id, m.Cancel, int(m.Hops))), 0) }()
}

// onEndsPersisted handles a coordinator's notice about kept jobs of a cell. It replies with a
// failure when this host does not own the cell.
func (n *Node) onEndsPersisted(m *peerpb.Noted, reply peer.Reply) {
	o := n.owner(m.Cell)
	if o == nil {
		reply(peer.FailureMessage(errkind.New(errkind.NotFound, "notify the cell's owner", "this host does not own cell %s", m.Cell)), 0)
		return
	}
	answer, known := o.answerNotice(m)
	if !known {
		reply(peer.FailureMessage(errkind.New(errkind.NotReady, "retry later", "the takeover of cell %s is not complete: runs of its former owner may be unknown here", m.Cell)), 0)
		return
	}
	reply(&peerpb.Message{Body: &peerpb.Message_Noted{Noted: answer}}, 0)
}

func toKeptReply(answer kept.Answer) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_KeptReply{KeptReply: &peerpb.KeptReply{
		Verdict:      uint32(answer.Verdict),
		State:        uint32(answer.State),
		Reason:       answer.Reason,
		RetryAfterUs: answer.RetryAfter.Microseconds(),
	}}}
}

func fromKeptReply(m *peerpb.KeptReply) kept.Answer {
	return kept.Answer{
		Verdict:    kept.VerdictOf(m.Verdict),
		State:      kept.StateOf(m.State),
		Reason:     m.Reason,
		RetryAfter: common.Microseconds(m.RetryAfterUs),
	}
}
