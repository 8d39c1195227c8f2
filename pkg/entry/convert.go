package entry

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/route"
)

// The functions of this file convert between this package's types and the messages
// between entry hosts.

func toHome(home once.Home) *peerpb.Home {
	return &peerpb.Home{Domain: home.Domain, Primary: home.Primary[:], Backup: home.Backup[:], Epoch: home.Epoch}
}

func fromHome(m *peerpb.Home) once.Home {
	home := once.Home{Domain: m.GetDomain(), Epoch: m.GetEpoch()}
	copy(home.Primary[:], m.GetPrimary())
	copy(home.Backup[:], m.GetBackup())
	return home
}

func toAnswer(a *once.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Outcome:      uint32(a.Outcome),
		Kind:         string(a.Kind),
		Message:      a.Message,
		Remedy:       a.Remedy,
		RetryAfterUs: a.RetryAfter.Microseconds(),
		Results:      a.Results,
	}
}

func fromAnswer(m *peerpb.Answer) *once.Answer {
	return &once.Answer{
		Outcome:    once.Outcome(m.GetOutcome()),
		Kind:       errkind.Kind(m.GetKind()),
		Message:    m.GetMessage(),
		Remedy:     m.GetRemedy(),
		RetryAfter: time.Duration(m.GetRetryAfterUs()) * time.Microsecond,
		Results:    m.GetResults(),
	}
}

func answerMessage(a *once.Answer) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Answer{Answer: toAnswer(a)}}
}

func toJob(r *request, now time.Duration) *peerpb.Job {
	job := &peerpb.Job{Service: r.labels.Service, Team: r.labels.Team, Class: r.labels.Class, Tasks: r.tasks}
	if r.left != 0 {
		job.DeadlineUs = max(1, (r.received + r.left - now).Microseconds())
	}
	return job
}

// fromJob makes the request of a job that another host forwarded.
func fromJob(m *peerpb.Job, digest uint64, now time.Duration) *request {
	if m == nil {
		return nil
	}
	return &request{
		labels:   metrics.Labels{Service: m.Service, Team: m.Team, Class: m.Class},
		received: now,
		left:     time.Duration(m.DeadlineUs) * time.Microsecond,
		tasks:    m.Tasks,
		digest:   digest,
	}
}

func toSlotCounts(grants []route.Grant) []*peerpb.SlotCount {
	counts := make([]*peerpb.SlotCount, len(grants))
	for i, grant := range grants {
		counts[i] = &peerpb.SlotCount{Address: grant.Address, Count: uint32(grant.Count)}
	}
	return counts
}

func toGrants(counts []*peerpb.SlotCount) []route.Grant {
	grants := make([]route.Grant, len(counts))
	for i, count := range counts {
		grants[i] = route.Grant{Address: count.Address, Count: int(count.Count)}
	}
	return grants
}

// lendingMessage encodes a message about the lending of slots.
func lendingMessage(pool string, message route.Message) *peerpb.Message {
	switch message.Kind {
	case route.KindBorrow:
		return &peerpb.Message{Body: &peerpb.Message_Borrow{Borrow: &peerpb.Borrow{
			Pool: pool, Want: uint32(message.Want), PlaceUs: message.Place.Microseconds(),
		}}}
	case route.KindLend:
		return &peerpb.Message{Body: &peerpb.Message_Lend{Lend: &peerpb.Lend{Pool: pool, Slots: toSlotCounts(message.Grants)}}}
	}
	return &peerpb.Message{Body: &peerpb.Message_Return{Return: &peerpb.Return{Pool: pool, Slots: toSlotCounts(message.Grants)}}}
}
