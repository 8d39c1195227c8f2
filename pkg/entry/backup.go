package entry

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// recordAtBackup has the backup record the id, and reports whether it acknowledged.
func (h *Host) recordAtBackup(j *job) bool {
	backup, ok := h.members.view().ByIncarnation(j.id.Home.Backup)
	if !ok {
		return false
	}
	link := h.members.linkTo(backup)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(j.ctx, h.settings.Link.RecordTimeout)
	defer cancel()
	reply, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Record{Record: &peerpb.Record{
		Home: toHome(j.id.Home), Part: j.id.Part, Digest: j.digest,
	}}}, j.service.BatchWindow)
	if err != nil {
		h.Log.Warn("record_lost", "id", j.idText, "error", err.Error())
		return false
	}
	ack := once.Ack(reply.GetRecordReply().GetAck())
	if ack != once.Acked {
		h.Log.Warn("record_refused", "id", j.idText, "ack", uint32(ack))
	}
	return ack == once.Acked
}

func recordRefused() *errkind.Error {
	return errkind.New(errkind.HomeClosed, "submit again under the home that comes with this answer", "the backup did not record the id")
}

// copyAnswer sends an answer to the backup if the service's policy asks for it.
func (h *Host) copyAnswer(j *job) {
	if !j.id.Home.HasBackup() || h.settings.SkipRecord || j.answer.Outcome == once.Refused {
		return
	}
	switch j.service.CopyAnswers {
	case config.CopyNone:
		return
	case config.CopySmall:
		if j.answer.Bytes() > config.SmallAnswerBytes {
			return
		}
	case config.CopyAll:
	}
	if backup, ok := h.members.view().ByIncarnation(j.id.Home.Backup); ok {
		h.members.send(backup.Name, copyMessage(j.id, j.answer), j.service.BatchWindow)
	}
}

func copyMessage(id once.ID, answer *once.Answer) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Copy{Copy: &peerpb.Copy{
		Home: toHome(id.Home), Part: id.Part, Answer: toAnswer(answer),
	}}}
}
