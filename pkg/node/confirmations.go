package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A front that is cut off from a domain can't announce its jobs there. Its callers may be cut off
// from it as well and resubmit their jobs in that domain, which it can't notice. So each domain has
// to confirm an announcement, this host's own included; if one doesn't, the front gives up the jobs.
// Once all have, the limits of their leases are lifted (lease_limits.go).

// confirmersPerDomain is how many hosts of each domain are asked to confirm an announcement. One
// that does is enough: it relays announcements within its domain.
const confirmersPerDomain = relaysPerDomain

// confirmRetryInterval is the time between two attempts to have an announcement confirmed.
const confirmRetryInterval = 50 * time.Millisecond

// confirmAnnouncement has each domain confirm an announcement of open jobs that was sent just now.
func (n *Node) confirmAnnouncement(sent *sentAnnouncement) {
	var jobs []*openJob
	for _, announced := range sent.jobs {
		if open := n.front.openJob(announced.ID); open != nil {
			jobs = append(jobs, open)
		}
	}
	if len(jobs) == 0 {
		return
	}
	slices.SortFunc(jobs, func(a, b *openJob) int { return cmp.Compare(a.job.EarliestSending(), b.job.EarliestSending()) })
	domains := n.domainsBeside()
	if len(domains) == 0 {
		n.front.confirm(jobs)
		return
	}
	waits := &confirmationWaits{domains: map[*openJob]int{}}
	for _, open := range jobs {
		waits.domains[open] = len(domains)
	}
	for domain := range domains {
		go n.awaitConfirmation(domain, jobs, waits, sent)
	}
}

// confirmationWaits counts the domains that have not confirmed the announcement of each job, and need to.
type confirmationWaits struct {
	mu      sync.Mutex
	domains map[*openJob]int
}

// settle records that a domain has confirmed the announcement of jobs, or need not. It returns the jobs
// for which no other domain needs to.
func (w *confirmationWaits) settle(jobs []*openJob) (confirmed []*openJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, open := range jobs {
		if w.domains[open]--; w.domains[open] == 0 {
			confirmed = append(confirmed, open)
		}
	}
	return confirmed
}

// awaitConfirmation waits until a domain has confirmed an announcement, and gives up each job for
// which it doesn't in time.
func (n *Node) awaitConfirmation(domain string, jobs []*openJob, waits *confirmationWaits, sent *sentAnnouncement) {
	askedAt := n.Clock.Now()
	exemptFrom := n.firstExempt(domain, jobs)
	n.front.confirm(waits.settle(jobs[exemptFrom:]))
	for i, open := range jobs {
		isExempt := i >= exemptFrom
		switch isConfirmed := n.confirmsBy(domain, openjobs.ConfirmBy(open.job.EarliestSending(), n.settings.ResubmitAfter, n.settings.StopTime), sent); {
		case isConfirmed && isExempt:
			return
		case isConfirmed:
			n.front.confirm(waits.settle(jobs[i:exemptFrom]))
			return
		case !n.giveUpUnconfirmed(domain, open, askedAt) && !isExempt:
			n.front.confirm(waits.settle(jobs[i : i+1]))
		}
	}
}

// firstExempt returns the index of the first job, of jobs in the order of their sendings, that came after
// this host had noticed that a domain is cut off. The domain need not confirm it (Confirmations.Missing).
func (n *Node) firstExempt(domain string, jobs []*openJob) int {
	n.openJobTable.mu.Lock()
	defer n.openJobTable.mu.Unlock()
	at := slices.IndexFunc(jobs, func(open *openJob) bool {
		return n.openJobTable.confirmations.IsExempt(domain, open.job.EarliestSending())
	})
	if at < 0 {
		return len(jobs)
	}
	return at
}

// confirmsBy waits until a domain has confirmed an announcement, or until limit.
func (n *Node) confirmsBy(domain string, limit time.Duration, sent *sentAnnouncement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit-n.Clock.Now())
	defer cancel()
	for !n.hasConfirmed(ctx, domain, sent) {
		if !n.front.sleepUntil(ctx, n.Clock.Now()+confirmRetryInterval) {
			return false
		}
	}
	n.openJobTable.recordConfirmed(domain)
	return n.Clock.Now() <= limit // a process that stood still may read the answer later
}

// askMissingDomains asks the domains that don't confirm whether they can be reached again. An answer
// says nothing of announcements: jobs of the domain have to be confirmed again from then on.
func (n *Node) askMissingDomains(now time.Duration) {
	n.openJobTable.mu.Lock()
	due := n.openJobTable.confirmations.DueAgain(now)
	n.openJobTable.mu.Unlock()
	for _, domain := range due {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), n.settings.SuspectAfter)
			defer cancel()
			var answers []func() bool
			for _, p := range n.confirmers(domain) {
				answers = append(answers, func() bool { return n.answersHeartbeat(ctx, p.Address) })
			}
			if isAnyTrue(answers) {
				n.openJobTable.recordConfirmed(domain)
			}
		}()
	}
}

// recordConfirmed is Confirmations.Confirmed.
func (o *openJobTable) recordConfirmed(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmations.Confirmed(domain)
}

// confirmers returns the hosts of a domain that are asked to confirm announcements.
func (n *Node) confirmers(domain string) []member.Peer {
	return slices.DeleteFunc(fewPerDomain(n.reachablePeers(), confirmersPerDomain), func(p member.Peer) bool { return p.Domain != domain })
}

// hasConfirmed reports whether a host of a domain has received an announcement and relayed it there. It
// returns false once none of those that have been asked can reply any more.
func (n *Node) hasConfirmed(ctx context.Context, domain string, sent *sentAnnouncement) bool {
	var answers []func() bool
	for _, address := range sent.inDomain(domain) {
		if reply := sent.reply(address); !reply.isLost() {
			answers = append(answers, func() bool { return reply.await(ctx) })
		}
	}
	for _, p := range n.confirmers(domain) {
		if reply := sent.reply(p.Address); reply == nil || reply.isLost() {
			answers = append(answers, n.announceAgain(ctx, p, sent))
		}
	}
	return isAnyTrue(answers)
}

// announceAgain sends an announcement to a host that may not have received it, or hasn't been asked to
// relay it in its domain. It returns a function that waits for the host's confirmation.
func (n *Node) announceAgain(ctx context.Context, p member.Peer, sent *sentAnnouncement) (isConfirmed func() bool) {
	m := toOpenJobs(n.asFront(), sent.jobs, p.Domain != n.settings.Domain)
	if !p.ConfirmsOpenJobs {
		n.sendOpenJobs(p.Address, m)
		return func() bool { return n.answersHeartbeat(ctx, p.Address) }
	}
	reply := n.callOpenJobs(p.Address, m)
	sent.add(p, reply)
	return func() bool { return reply.await(ctx) }
}

// isAnyTrue calls functions concurrently, and returns true as soon as one of them does.
func isAnyTrue(functions []func() bool) bool {
	results := make(chan bool, len(functions))
	for _, f := range functions {
		go func() { results <- f() }()
	}
	for range functions {
		if <-results {
			return true
		}
	}
	return false
}

// answersHeartbeat reports whether a host answers a heartbeat. It has handled the announcements that were
// sent to it on the same connection before.
func (n *Node) answersHeartbeat(ctx context.Context, address string) bool {
	link := n.links.Link(address)
	if link == nil {
		return false
	}
	_, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: n.Heartbeat()}}, 0)
	return err == nil
}

// giveUpUnconfirmed gives up a job of which a domain may not know, unless it came after this host
// had noticed that the domain is cut off. It reports whether the job is not followed any more.
func (n *Node) giveUpUnconfirmed(domain string, open *openJob, askedAt time.Duration) bool {
	if open.job.EarliestSending() >= n.giveUpBefore(domain, askedAt) {
		return false
	}
	if !open.hasEnded() {
		n.Log.Warn("open_job_unconfirmed", "job", open.job.ID, "domain", domain, "age_ms", (n.Clock.Now() - open.job.Received).Milliseconds())
		open.cancel(errUnconfirmed)
	}
	return true
}

// giveUpBefore returns the time before which a job must have been sent to be given up, as a domain
// that was asked at askedAt hasn't confirmed its announcement.
func (n *Node) giveUpBefore(domain string, askedAt time.Duration) time.Duration {
	now := n.Clock.Now()
	hasStalled := n.renewals.stalledLongSince(askedAt, now)
	n.openJobTable.mu.Lock()
	defer n.openJobTable.mu.Unlock()
	if hasStalled {
		return n.openJobTable.confirmations.MissingSince(domain, now)
	}
	return n.openJobTable.confirmations.Missing(domain, now)
}

// domainsBeside returns the domains with hosts other than this one.
func (n *Node) domainsBeside() map[string]bool {
	domains := map[string]bool{}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range n.memberRows {
		if row.PeerAddress != n.settings.PeerAddress {
			domains[row.Domain] = true
		}
	}
	return domains
}

// isOnlyHost reports whether the rows name no other host.
func (n *Node) isOnlyHost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range n.memberRows {
		if row.PeerAddress != n.settings.PeerAddress {
			return false
		}
	}
	return len(n.memberRows) > 0
}

// hasEnded reports whether the job has ended here.
func (o *openJob) hasEnded() bool {
	select {
	case <-o.done:
		return true
	default:
		return false
	}
}
