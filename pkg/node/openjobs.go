package node

import (
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// relaysPerDomain is how many hosts of each other domain are asked to relay announcements of
// open jobs within it, as a host has links to only a few hosts of another domain. It is more
// than one, so that announcements still arrive if a relaying host fails.
const relaysPerDomain = 2

// askedPerDomain is how many hosts of each domain are asked to relay a request to an unreachable
// front. It is more than one, because one of them may itself be cut off from the front.
const askedPerDomain = 3

// openJobTable holds the open jobs that this host announces, and those that other fronts have
// announced.
type openJobTable struct {
	mu     sync.Mutex
	local  *openjobs.LocalJobs
	others *openjobs.Table
	ended  map[string]endedHere // jobs that ended here and may be asked about, by id

	ownersAnnounceAfter time.Duration // age at which owners announce a job for its front

	confirmations *openjobs.Confirmations

	searches  map[string]*openjobs.Search // for resubmitted jobs, by id
	rejoins   map[string]rejoin           // for jobs that this front follows and has no owner for, by id
	resumedAt time.Duration               // when this host last resumed, after it was cut off from its domain or paused
}

// endedHere is the outcome of a job that ended at this front.
type endedHere struct {
	outcome     job.Outcome
	at          time.Duration
	isAnnounced bool // to other hosts, so that they may ask about it
}

// mayHaveRun reports whether tasks of the job may have started.
func (e *endedHere) mayHaveRun() bool { return e.outcome.Started || e.outcome.Kind != job.Refused }

// isAbandoned reports whether the job had started and ended without a final outcome: it was
// abandoned or its deadline passed.
func (e *endedHere) isAbandoned() bool {
	return e.outcome.Started && e.outcome.Kind != job.Completed && e.outcome.Kind != job.Failed
}

func newOpenJobTable(resubmitAfter, settle time.Duration) *openJobTable {
	return &openJobTable{
		local:  openjobs.NewLocalJobs(resubmitAfter, settle),
		others: openjobs.NewTable(settle),
		ended:  map[string]endedHere{},

		ownersAnnounceAfter: openjobs.OwnerAnnounceAfter(resubmitAfter),

		confirmations: openjobs.NewConfirmations(),

		searches: map[string]*openjobs.Search{},
		rejoins:  map[string]rejoin{},
	}
}

// add records that this front holds a job open.
func (o *openJobTable) add(j *job.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local.Add(j.ID, j.EarliestSending(), j.Received, j.Deadline)
}

// remove records that a job has ended at this front. The outcome is retained for outcomeRetention
// if the job was announced, so that other fronts can ask about it, or if it was given up, as its
// runs may be alive for a while. Other fronts may ask about such a job even if this submission
// wasn't announced, as an earlier one may have been. Jobs that this front didn't follow have left
// no runs and aren't retained.
func (o *openJobTable) remove(open *openJob, outcome job.Outcome, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.searches, open.job.ID)
	delete(o.rejoins, open.job.ID)
	isAnnounced := o.local.Remove(open.job.ID) || o.ended[open.job.ID].isAnnounced                 // this submission or an earlier one
	isAnnounced = isAnnounced || outcome.Started && now >= open.job.Received+o.ownersAnnounceAfter // by an owner
	e := endedHere{outcome: outcome, at: now, isAnnounced: isAnnounced}
	if open.isFollowed && (e.isAnnounced || e.isAbandoned()) {
		o.ended[open.job.ID] = e
	}
}

// nextBatch returns the announcements that are due, and drops outcomes whose retention is over.
func (o *openJobTable) nextBatch(now time.Duration) []openjobs.Announcement {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, e := range o.ended {
		if now > e.at+outcomeRetention {
			delete(o.ended, id)
		}
	}
	return o.local.NextBatch(now)
}

// find returns the other fronts that are known to hold a job open.
func (o *openJobTable) find(id string, now time.Duration) []openjobs.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.others.Find(id, now)
}

// holders is Table.Holders.
func (o *openJobTable) holders(id string, now time.Duration) []openjobs.Holder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.others.Holders(id, now)
}

// refer is Table.Refer.
func (o *openJobTable) refer(id string, dispatcher openjobs.Front, now time.Duration) (openjobs.Entry, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.others.Refer(id, dispatcher, now)
}

// recordedEnd returns the end of a job here, if it is retained.
func (o *openJobTable) recordedEnd(id string) (endedHere, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, known := o.ended[id]
	return e, known
}

// mayHaveRun reports whether an earlier submission of a job has ended here and tasks of it
// may have started.
func (o *openJobTable) mayHaveRun(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, known := o.ended[id]
	return known && e.mayHaveRun()
}

// newSearch begins the search for the front that holds a resubmitted job open. No run that
// this front followed is alive at settledAt.
func (o *openJobTable) newSearch(open *openJob, settledAt time.Duration) *openjobs.Search {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := openjobs.NewSearch(open.job.ID, settledAt)
	o.searches[open.job.ID] = s
	return s
}

// rejoin is the search of a front that follows a job, for others that hold it open too, while the job
// is at no owner.
type rejoin struct {
	search    *openjobs.Search
	runsEndBy time.Duration // when none of the runs that this front has followed can be alive any more
}

// newRejoin begins such a search. Parts don't yield, as other parts may run.
func (o *openJobTable) newRejoin(j *job.Job, state *attempt) *openjobs.Search {
	s := openjobs.NewSearch(j.WholeID(), 0)
	if j.IsPart() {
		return s
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	begun := rejoin{search: s}
	if state.formerCell != "" {
		begun.runsEndBy = state.notBefore
	}
	o.rejoins[j.ID] = begun
	return s
}

// yieldRejoin reports whether this front, which follows a job that is at no owner, lets another one
// go first that follows it too, and when none of its runs can be alive any more. Without that
// each would wait for the other.
func (o *openJobTable) yieldRejoin(id string, asker openjobs.Front, self string, now time.Duration) (runsEndBy time.Duration, yields bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, known := o.rejoins[id]
	return r.runsEndBy, known && r.search.ShouldYield(o.others, asker, self, false, now)
}

// next is Search.Next, but starts no job before this host has received the announcements of
// the others after it resumed. A search after which the job may start no longer yields: the
// other front would take this one's answer for final and start the job too.
func (o *openJobTable) next(id string, s *openjobs.Search, now time.Duration) (at time.Duration, mayStart bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, mayStart = s.Next(o.others, now)
	if resyncedAt := o.resumedAt + openjobs.ResyncDelay; mayStart && now < resyncedAt {
		return resyncedAt, false
	}
	if mayStart && o.searches[id] == s {
		delete(o.searches, id)
	}
	if mayStart && o.rejoins[id].search == s {
		delete(o.rejoins, id)
	}
	return at, mayStart
}

// markResumed records that this host was cut off from its domain, or paused, until now.
func (o *openJobTable) markResumed(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resumedAt = now
}

// resyncedAt returns when this host has received the announcements of the others after it
// last resumed.
func (o *openJobTable) resyncedAt() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resumedAt + openjobs.ResyncDelay
}

// announceOpenJobs announces this host's open jobs to other hosts, to which callers may resubmit
// them.
func (n *Node) announceOpenJobs(now time.Duration) {
	n.askMissingDomains(now)
	batch := n.openJobTable.nextBatch(now)
	if len(batch) == 0 {
		return
	}
	relays := map[string]int{} // number of hosts asked to relay, by domain
	sent := newSentAnnouncement(batch)
	peers, relaysInDomain := n.reachablePeers(), n.relaysInDomain()
	for _, p := range peers {
		inDomain := p.Domain == n.settings.Domain
		relay := !inDomain && relays[p.Domain] < relaysPerDomain || slices.Contains(relaysInDomain, p.Address)
		if relay {
			relays[p.Domain]++
		}
		m := toOpenJobs(n.asFront(), batch, relay)
		if p.ConfirmsOpenJobs && (inDomain || relay) {
			sent.add(p, n.callOpenJobs(p.Address, m))
			continue
		}
		n.sendOpenJobs(p.Address, m)
	}
	n.metrics.OpenJobsTold(len(batch) * len(peers))
	n.Log.Info("open_jobs_told", "jobs", len(batch), "first", batch[0].ID, "hosts", len(peers), "passing", relays)
	n.confirmAnnouncement(sent)
	go n.deliverInDomain(sent)
}

// relayAnnouncedInDomain has other hosts of the domain relay what this host has announced, as an owner
// that it has lost may not have received it.
func (n *Node) relayAnnouncedInDomain() {
	n.openJobTable.mu.Lock()
	announced := n.openJobTable.local.Announced(n.Clock.Now())
	n.openJobTable.mu.Unlock()
	for _, address := range n.relaysInDomain() {
		n.sendOpenJobs(address, toOpenJobs(n.asFront(), announced, true))
	}
}

// asFront identifies this process to other hosts.
func (n *Node) asFront() openjobs.Front {
	return openjobs.Front{Address: n.settings.PeerAddress, Domain: n.settings.Domain, Process: string(n.inc[:])}
}

func (n *Node) reachablePeers() []member.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.View(n.inc).Peers
}

// toOpenJobs converts announcements of a front's open jobs, which the receiver has to relay in its
// domain if relay is set.
func toOpenJobs(front openjobs.Front, jobs []openjobs.Announcement, relay bool) *peerpb.OpenJobs {
	m := &peerpb.OpenJobs{Front: front.Address, Domain: front.Domain, Process: []byte(front.Process), PassOn: relay}
	for _, announced := range jobs {
		m.Jobs = append(m.Jobs, &peerpb.OpenJob{Id: announced.ID, LeftUs: announced.Remaining.Microseconds(), Cell: announced.Cell})
	}
	return m
}

// sendOpenJobs sends announcements to a host without a reply.
func (n *Node) sendOpenJobs(address string, m *peerpb.OpenJobs) {
	if link := n.links.Link(address); link != nil && len(m.Jobs) > 0 {
		link.Send(&peerpb.Message{Body: &peerpb.Message_OpenJobs{OpenJobs: m}}, 0)
	}
}

// onOpenJobs records the open jobs that a front announces, and relays them within this domain
// if asked to. A call is answered once they have been relayed.
func (n *Node) onOpenJobs(from *peerpb.Hello, m *peerpb.OpenJobs, isCall bool, reply peer.Reply) {
	front := openjobs.Front{Address: m.Front, Domain: m.Domain, Process: string(m.Process)}
	jobs := make([]openjobs.Announcement, 0, len(m.Jobs))
	for _, announced := range m.Jobs {
		jobs = append(jobs, openjobs.Announcement{ID: announced.Id, Remaining: common.Microseconds(announced.LeftUs), Cell: announced.Cell})
	}
	if front.Address != n.settings.PeerAddress {
		n.recordOpenJobs(front, from.Address, jobs, m.PassOn || len(m.PassTo) > 0)
		if m.PassOn {
			n.relayOpenJobs(from.Address, front, jobs)
		}
		n.onCrashedJobs(from.Address, m)
	}
	if !isCall {
		return
	}
	if len(m.PassTo) == 0 {
		reply(&peerpb.Message{Body: &peerpb.Message_OpenJobs{OpenJobs: &peerpb.OpenJobs{}}}, 0)
		return
	}
	go func() {
		reached := n.relayOpenJobsTo(m.PassTo, toOpenJobs(front, jobs, false))
		reply(&peerpb.Message{Body: &peerpb.Message_OpenJobs{OpenJobs: &peerpb.OpenJobs{Reached: reached}}}, 0)
	}()
}

// recordOpenJobs records the open jobs of another front that a host, the reporter, announced.
func (n *Node) recordOpenJobs(front openjobs.Front, reporter string, jobs []openjobs.Announcement, relay bool) {
	n.openJobTable.mu.Lock()
	dropped := n.openJobTable.others.Record(front, reporter, jobs, relay, n.Clock.Now())
	for _, announced := range jobs {
		n.openJobTable.local.AnnounceNow(announced.ID)
	}
	n.openJobTable.mu.Unlock()
	if dropped > 0 {
		n.Log.Warn("open_jobs_dropped", "front", front.Address, "jobs", dropped, "remedy", "shorten long jobs, or add hosts to spread them over")
	}
	n.resolveOpenTwice(front, reporter, jobs)
}

func (n *Node) relayOpenJobs(from string, front openjobs.Front, jobs []openjobs.Announcement) {
	for _, p := range n.reachablePeers() {
		if p.Domain == n.settings.Domain && p.Address != from && p.Address != front.Address {
			n.sendOpenJobs(p.Address, toOpenJobs(front, jobs, false))
		}
	}
}

// LinkResumed implements peer.Resumer. Announcements in transit on the previous connection may
// be lost, so they are sent again.
func (n *Node) LinkResumed(address string, hello *peerpb.Hello) {
	n.resendAnnouncements(address, hello.Domain)
}

// resendAnnouncements sends a host the announcements that it may have missed or lost: this host's
// own, and those that this host relays in its domain.
func (n *Node) resendAnnouncements(address, domain string) {
	now := n.Clock.Now()
	n.openJobTable.mu.Lock()
	local := n.openJobTable.local.Announced(now)
	relayed := n.openJobTable.others.ToRelay(now)
	n.openJobTable.mu.Unlock()
	n.sendOpenJobs(address, toOpenJobs(n.asFront(), local, domain != n.settings.Domain))
	n.resendOwnedTo(address)
	n.resendCrashes(address, domain)
	if domain != n.settings.Domain {
		return
	}
	for front, jobs := range relayed {
		if front.Address != address {
			n.sendOpenJobs(address, toOpenJobs(front, jobs, false))
		}
	}
}

// fewPerDomain returns the first peers of each domain, at most so many.
func fewPerDomain(peers []member.Peer, most int) []member.Peer {
	count := map[string]int{}
	var few []member.Peer
	for _, p := range peers {
		if count[p.Domain]++; count[p.Domain] <= most {
			few = append(few, p)
		}
	}
	return few
}

// hostsToAsk returns a few hosts of each domain, through which an unreachable front may be
// asked.
func (n *Node) hostsToAsk() []string {
	var hosts []string
	for _, p := range fewPerDomain(n.reachablePeers(), askedPerDomain) {
		hosts = append(hosts, p.Address)
	}
	return hosts
}

var _ peer.Resumer = (*Node)(nil)
