package node

import (
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// onKeep takes a job that another front wants kept.
func (n *Node) onKeep(m *peerpb.Keep, reply peer.Reply) {
	if !n.servesKept {
		reply(toKeptReply(notServed), 0)
		return
	}
	j := jobwire.FromDispatch(m.Job, n.Clock.Now())
	j.Kept = true
	go func() { reply(toKeptReply(n.keeping.HandleKeep(m.Job.GetCell(), j, int(m.Hops))), 0) }()
}

// onKeptQuery tells another front the state of a job, or cancels it.
func (n *Node) onKeptQuery(m *peerpb.KeptQuery, reply peer.Reply) {
	go func() { reply(toKeptReply(n.keeping.HandleState(m.Id, m.Cancel, int(m.Hops))), 0) }()
}

// onNoted takes what stands in the rows of kept jobs of a cell. A host that doesn't
// own the cell says so by a failure.
func (n *Node) onNoted(m *peerpb.Noted, reply peer.Reply) {
	o := n.owner(m.Cell)
	if o == nil {
		reply(peer.FailureMessage(errkind.New(errkind.NotFound, "tell its owner", "this host does not own cell %s", m.Cell)), 0)
		return
	}
	goOn, known := o.told(m)
	if !known {
		reply(peer.FailureMessage(errkind.New(errkind.NotReady, "tell it again", "this host has owned cell %s for too short a time to say what runs there", m.Cell)), 0)
		return
	}
	reply(&peerpb.Message{Body: &peerpb.Message_Noted{Noted: &peerpb.Noted{Cell: m.Cell, Ids: goOn}}}, 0)
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
		Verdict:    kept.Verdict(m.Verdict),
		State:      kept.State(m.State),
		Reason:     m.Reason,
		RetryAfter: microseconds(m.RetryAfterUs),
	}
}
