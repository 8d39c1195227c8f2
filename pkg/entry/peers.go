package entry

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// Handle implements peer.Handler. Quick messages are handled in place, so that records
// stay in order; those that wait are handled in a goroutine.
func (h *Host) Handle(from *peerpb.Hello, m *peerpb.Message, reply peer.Reply) {
	switch body := m.Body.(type) {
	case *peerpb.Message_Record:
		h.onRecord(body.Record, reply)
	case *peerpb.Message_Copy:
		h.memory.copy(once.ID{Home: fromHome(body.Copy.Home), Part: body.Copy.Part}, fromAnswer(body.Copy.Answer))
	case *peerpb.Message_FenceHome:
		h.memory.fenceHome(fromHome(body.FenceHome.Home), h.Clock.Now())
	case *peerpb.Message_Heartbeat:
		h.onHeartbeat(from, body.Heartbeat, reply)
	case *peerpb.Message_Submit:
		go h.onSubmit(body.Submit, reply)
	case *peerpb.Message_Ask:
		go h.onAsk(body.Ask, reply)
	case *peerpb.Message_Cancel:
		go h.onCancel(body.Cancel, reply)
	case *peerpb.Message_FetchConfig:
		h.onFetchConfig(reply)
	case *peerpb.Message_Borrow, *peerpb.Message_Lend, *peerpb.Message_Return:
		h.onLending(from, m)
	default:
		reply(peer.FailureMessage(errkind.New(errkind.BadRequest, "upgrade the older host", "the message is not known")), 0)
	}
}

// LinkAccepted implements peer.Handler. A peer that has restarted holds none of this
// host's slots.
func (h *Host) LinkAccepted(from *peerpb.Hello) {
	h.eachDispatcher(func(d *dispatcher) { d.onPeerReplaced(from.Name) })
}

// LinkClosed implements peer.Handler. It does nothing: whether a peer is reachable is
// decided by this host's own link to it.
func (h *Host) LinkClosed(*peerpb.Hello) {}

func (h *Host) onRecord(m *peerpb.Record, reply peer.Reply) {
	id := once.ID{Home: fromHome(m.Home), Part: m.Part}
	ack := h.memory.record(id, m.Digest, h.Clock.Now())
	reply(&peerpb.Message{Body: &peerpb.Message_RecordReply{RecordReply: &peerpb.RecordReply{Ack: uint32(ack)}}}, 0)
}

func (h *Host) onHeartbeat(from *peerpb.Hello, heartbeat *peerpb.Heartbeat, reply peer.Reply) {
	reply(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: h.members.Heartbeat()}}, 0)
	var inc once.Incarnation
	copy(inc[:], from.Incarnation)
	if p, ok := h.members.view().ByIncarnation(inc); ok {
		h.members.recordHeartbeat(p, heartbeat)
	}
}

func (h *Host) onSubmit(m *peerpb.Submit, reply peer.Reply) {
	r := fromJob(m.Job, m.Digest, h.Clock.Now())
	replyForID(m.Id, reply, func(ctx context.Context, id once.ID) *once.Answer {
		return h.resolve(ctx, id, r, m.Hops)
	})
}

func (h *Host) onAsk(m *peerpb.Ask, reply peer.Reply) {
	r := fromJob(m.Job, m.Digest, h.Clock.Now())
	replyForID(m.Id, reply, func(ctx context.Context, id once.ID) *once.Answer {
		return h.answerAsBackup(ctx, id, r, m.Hops)
	})
}

func (h *Host) onCancel(m *peerpb.Cancel, reply peer.Reply) {
	replyForID(m.Id, reply, func(_ context.Context, id once.ID) *once.Answer { return h.cancel(id) })
}

// replyForID replies to another host with the answer of serve for an id.
func replyForID(idText string, reply peer.Reply, serve serveFunc) {
	id, err := once.ParseID(idText)
	if err != nil {
		reply(answerMessage(outcomeOfError(err)), 0)
		return
	}
	reply(answerMessage(orUnreachable(serve(context.Background(), id))), 0)
}

func (h *Host) onFetchConfig(reply peer.Reply) {
	current := h.conf.get()
	if current == nil {
		reply(peer.FailureMessage(notReady()), 0)
		return
	}
	reply(&peerpb.Message{Body: &peerpb.Message_Config{Config: &peerpb.Config{
		Version: current.version, Digest: current.digest, Body: current.body,
	}}}, 0)
}

// fetchConfig gets a newer configuration from a peer that has one.
func (h *Host) fetchConfig(from member.Peer) {
	link := h.members.linkTo(from)
	if link == nil || !h.fetching.CompareAndSwap(false, true) {
		return
	}
	defer h.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Link.SuspectAfter)
	defer cancel()
	reply, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_FetchConfig{FetchConfig: &peerpb.FetchConfig{}}}, 0)
	if err != nil {
		return
	}
	m := reply.GetConfig()
	if err := h.conf.activateIfNewer(m.GetVersion(), m.GetDigest(), m.GetBody()); err != nil {
		h.Log.Error("config_refused", "version", m.GetVersion(), "error", err.Error())
	}
}
