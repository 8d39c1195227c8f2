package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A task that crashes executors would crash several more after each submission of its job to a front or an
// owner that doesn't know of it. So owners tell a front which executors have crashed under the tasks of a
// job that ends without a final outcome, and the front tells other hosts. Jobs that end otherwise aren't told:
// nobody submits them again.

// withdrawalTimeout is how long a front waits for an owner to tell of the crashes under a job that it
// withdraws. Owners that know of none don't reply.
const withdrawalTimeout = 500 * time.Millisecond

// reasonWithdrawn marks the reply to a withdrawal.
const reasonWithdrawn = "withdrawn"

// recordCrashes records the crashes that an owner has reported of a job that has ended without a final outcome,
// and tells other hosts of those that are new.
func (n *Node) recordCrashes(wholeID string, progress []job.Progress) {
	crashes := crashesOf(progress)
	if !n.crashes.record(wholeID, crashes, n.Clock.Now()) {
		return
	}
	m := n.toCrashed(map[string][]job.Progress{wholeID: crashes})
	relays := map[string]int{} // number of hosts asked to relay, by domain
	for _, p := range n.reachablePeers() {
		relay := p.Domain != n.settings.Domain && relays[p.Domain] < relaysPerDomain
		if relay {
			relays[p.Domain]++
		}
		n.sendCrashed(p.Address, m, relay)
	}
}

func (n *Node) toCrashed(jobs map[string][]job.Progress) *peerpb.OpenJobs {
	m := &peerpb.OpenJobs{Front: n.settings.PeerAddress, Domain: n.settings.Domain, Process: n.inc[:]}
	for id, crashes := range jobs {
		m.Crashed = append(m.Crashed, &peerpb.CrashedJob{Id: id, Tasks: jobwire.ToProgress(crashes)})
	}
	return m
}

// resendCrashes tells a host of the crashed jobs that it may have missed, as the link to it is new.
func (n *Node) resendCrashes(address, domain string) {
	if jobs := n.crashes.all(n.Clock.Now()); len(jobs) > 0 {
		n.sendCrashed(address, n.toCrashed(jobs), domain != n.settings.Domain)
	}
}

// sendCrashed tells a host of crashed jobs, which it has to relay in its domain if relay is set.
func (n *Node) sendCrashed(address string, m *peerpb.OpenJobs, relay bool) {
	if link := n.links.Link(address); link != nil {
		copied := &peerpb.OpenJobs{Front: m.Front, Domain: m.Domain, Process: m.Process, PassOn: relay, Crashed: m.Crashed}
		link.Send(&peerpb.Message{Body: &peerpb.Message_OpenJobs{OpenJobs: copied}}, 0)
	}
}

// onCrashedJobs records the crashed jobs that another front tells of, and relays them within this domain if
// asked to.
func (n *Node) onCrashedJobs(from string, m *peerpb.OpenJobs) {
	if len(m.Crashed) == 0 {
		return
	}
	for _, crashed := range m.Crashed {
		n.crashes.record(crashed.Id, jobwire.FromProgress(crashed.Tasks), n.Clock.Now())
	}
	if !m.PassOn {
		return
	}
	for _, p := range n.reachablePeers() {
		if p.Domain == n.settings.Domain && p.Address != from && p.Address != m.Front {
			n.sendCrashed(p.Address, m, false)
		}
	}
}

// withdraw withdraws a job from an owner, and records in the background what that tells of crashes. The
// message is in order with others to the owner.
func (f *front) withdraw(link *peer.Link, j *job.Job, m *peerpb.Withdraw) {
	call := link.Begin(&peerpb.Message{Body: &peerpb.Message_Withdraw{Withdraw: m}}, 0)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawalTimeout)
		defer cancel()
		if answer, err := call.Await(ctx); err == nil {
			f.node.recordCrashes(j.WholeID(), jobwire.FromProgress(answer.GetOutcome().GetProgress()))
		}
	}()
}

// onWithdraw withdraws a job of a peer's front, and tells it of the crashes under its tasks.
func (n *Node) onWithdraw(from *peerpb.Hello, m *peerpb.Withdraw, isCall bool, reply peer.Reply) {
	o := n.owner(m.Cell)
	if o == nil {
		return
	}
	if crashes := o.withdraw(m.Id, from.Address, reasonCallerLeft); isCall && len(crashes) > 0 {
		reply(toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonWithdrawn, Progress: crashes}), 0)
	}
}
