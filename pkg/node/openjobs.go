package node

import (
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// passers is how many hosts of each other domain are asked to pass news of open jobs
// on to the rest of it: hosts hold links to a few of another domain only, and one
// of the two may be lost meanwhile.
const passers = 2

// askedInDomain is how many hosts of each domain are asked for a front that is out of
// sight: those of its own domain tell whether it is gone, and one of them may itself be
// cut off from it.
const askedInDomain = 3

// openNews is what this host tells of its open jobs, and knows of others'.
type openNews struct {
	mu     sync.Mutex
	own    *openjobs.LocalJobs
	others *openjobs.Table
	ended  map[string]endedHere // own jobs that are answered for, by id

	searches map[string]*openjobs.Search // for jobs that have come again here, by id
	backAt   time.Duration               // when this host was last back, after it had been cut off from its domain or stood still
}

// endedHere is how a job ended at this front, and when.
type endedHere struct {
	outcome job.Outcome
	at      time.Duration
	isTold  bool // others were told of it, so that they may ask
}

// mayHaveRun reports whether tasks of the job may have started.
func (e *endedHere) mayHaveRun() bool { return e.outcome.Started || e.outcome.Kind != job.Refused }

// isGivenUp reports whether the job had begun and was given up, or took too long.
func (e *endedHere) isGivenUp() bool {
	return e.outcome.Started && e.outcome.Kind != job.Completed && e.outcome.Kind != job.Failed
}

func newOpenNews(resubmitAfter, settle time.Duration) *openNews {
	return &openNews{
		own:    openjobs.NewLocalJobs(resubmitAfter, settle),
		others: openjobs.NewTable(settle),
		ended:  map[string]endedHere{},

		searches: map[string]*openjobs.Search{},
	}
}

// opened takes that this front holds a job open from now on.
func (o *openNews) opened(j *job.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own.Add(j.ID, j.Received, j.Deadline)
}

// closed takes that a job has ended at this front. It answers for a while for those
// that others were told of, and remembers those that were given up: it would else say of
// one that comes again that nothing of it has run. What it didn't follow itself has left
// no runs.
func (o *openNews) closed(open *openJob, outcome job.Outcome, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.searches, open.job.ID)
	isTold := o.own.Remove(open.job.ID) || o.ended[open.job.ID].isTold // now, or of a former sending
	e := endedHere{outcome: outcome, at: now, isTold: isTold}
	if open.isCarried && (e.isTold || e.isGivenUp()) {
		o.ended[open.job.ID] = e
	}
}

// batch returns what is to be told now.
func (o *openNews) batch(now time.Duration) []openjobs.Announcement {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, e := range o.ended {
		if now > e.at+keepOutcomes {
			delete(o.ended, id)
		}
	}
	return o.own.NextBatch(now)
}

// find returns the other fronts that hold a job open, as far as is known.
func (o *openNews) find(id string, now time.Duration) []openjobs.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.others.Find(id, now)
}

// endedAt returns how a job has ended here, and when, if others were told of it.
func (o *openNews) endedAt(id string) (endedHere, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, known := o.ended[id]
	return e, known && e.isTold
}

// mayHaveRun reports whether an earlier sending of a job has ended here of which tasks may
// have started.
func (o *openNews) mayHaveRun(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, known := o.ended[id]
	return known && e.mayHaveRun()
}

// newSearch begins the search for a job that has come again.
func (o *openNews) newSearch(open *openJob, settledAt time.Duration) *openjobs.Search {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := openjobs.NewSearch(open.job.ID, settledAt)
	o.searches[open.job.ID] = s
	return s
}

// next is Search.Next for a host that has heard what others hold open.
func (o *openNews) next(s *openjobs.Search, now time.Duration) (at time.Duration, mayStart bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, mayStart = s.Next(o.others, now)
	if heardAgain := o.backAt + openjobs.ResyncDelay; mayStart && now < heardAgain {
		return heardAgain, false
	}
	return at, mayStart
}

// back takes that this host was cut off from its domain, or stood still, until now.
func (o *openNews) back(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.backAt = now
	o.others.ResetLosses(now)
}

// heardAgainAt returns when this host has heard what others hold open.
func (o *openNews) heardAgainAt() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backAt + openjobs.ResyncDelay
}

// tellOpenJobs tells other hosts of the jobs that may come again by them.
func (n *Node) tellOpenJobs(now time.Duration) {
	batch := n.openNews.batch(now)
	if len(batch) == 0 {
		return
	}
	passing := map[string]int{} // hosts that pass it on, by domain
	peers := n.peersInSight()
	for _, p := range peers {
		passOn := p.Domain != n.settings.Domain && passing[p.Domain] < passers
		if passOn {
			passing[p.Domain]++
		}
		n.sendOpenJobs(p.Address, n.asFront(), batch, passOn)
	}
	n.metrics.OpenJobsTold(len(batch) * len(peers))
	n.Log.Info("open_jobs_told", "jobs", len(batch), "first", batch[0].ID, "hosts", len(peers), "passing", passing)
}

// asFront names this process to others.
func (n *Node) asFront() openjobs.Front {
	return openjobs.Front{Address: n.settings.PeerAddress, Domain: n.settings.Domain, Process: string(n.inc[:])}
}

func (n *Node) peersInSight() []member.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.View(n.inc).Peers
}

func (n *Node) sendOpenJobs(address string, front openjobs.Front, jobs []openjobs.Announcement, passOn bool) {
	link := n.links.Link(address)
	if link == nil || len(jobs) == 0 {
		return
	}
	m := &peerpb.OpenJobs{Front: front.Address, Domain: front.Domain, Process: []byte(front.Process), PassOn: passOn}
	for _, told := range jobs {
		m.Jobs = append(m.Jobs, &peerpb.OpenJob{Id: told.ID, LeftUs: told.Remaining.Microseconds()})
	}
	link.Send(&peerpb.Message{Body: &peerpb.Message_OpenJobs{OpenJobs: m}}, 0)
}

// onOpenJobs takes news of a front's open jobs, and passes it on within this domain
// if asked to.
func (n *Node) onOpenJobs(from *peerpb.Hello, m *peerpb.OpenJobs) {
	front := openjobs.Front{Address: m.Front, Domain: m.Domain, Process: string(m.Process)}
	if front.Address == n.settings.PeerAddress {
		return
	}
	jobs := make([]openjobs.Announcement, 0, len(m.Jobs))
	for _, told := range m.Jobs {
		jobs = append(jobs, openjobs.Announcement{ID: told.Id, Remaining: microseconds(told.LeftUs)})
	}
	n.openNews.mu.Lock()
	dropped := n.openNews.others.Record(front, from.Address, jobs, m.PassOn, n.Clock.Now())
	n.openNews.mu.Unlock()
	if dropped > 0 {
		n.Log.Warn("open_jobs_dropped", "front", front.Address, "jobs", dropped, "remedy", "fewer jobs that last, or more hosts to spread them")
	}
	if m.PassOn {
		n.passOpenJobs(from.Address, front, jobs)
	}
}

func (n *Node) passOpenJobs(from string, front openjobs.Front, jobs []openjobs.Announcement) {
	for _, p := range n.peersInSight() {
		if p.Domain == n.settings.Domain && p.Address != from && p.Address != front.Address {
			n.sendOpenJobs(p.Address, front, jobs, false)
		}
	}
}

// LinkResumed implements peer.Resumer: what was on its way on the former connection
// may be lost.
func (n *Node) LinkResumed(address string, hello *peerpb.Hello) { n.tellAgain(address, hello.Domain) }

// tellAgain tells a host what it may not have heard, or may have forgotten: the own
// open jobs, and those that this host passes on in its domain.
func (n *Node) tellAgain(address, domain string) {
	now := n.Clock.Now()
	n.openNews.mu.Lock()
	n.openNews.others.LinkUp(address)
	own := n.openNews.own.Announced(now)
	passed := n.openNews.others.ToRelay(now)
	n.openNews.mu.Unlock()
	n.sendOpenJobs(address, n.asFront(), own, domain != n.settings.Domain)
	if domain != n.settings.Domain {
		return
	}
	for front, jobs := range passed {
		if front.Address != address {
			n.sendOpenJobs(address, front, jobs, false)
		}
	}
}

// seesMate reports whether another host of the own domain than one is in sight. n.mu is
// held.
func (n *Node) seesMate(than string) bool {
	isMate := func(p member.Peer) bool { return p.Address != than && p.Domain == n.settings.Domain }
	return slices.ContainsFunc(n.members.View(n.inc).Peers, isMate)
}

// frontOutOfSight takes that the link to a host is lost.
func (n *Node) frontOutOfSight(address string) {
	n.openNews.mu.Lock()
	defer n.openNews.mu.Unlock()
	n.openNews.others.LinkDown(address, n.Clock.Now())
}

// sightOf returns what is seen of a front's domain. Where the domain has no third host
// any other one tells that this host isn't cut off.
func (n *Node) sightOf(front openjobs.Front) openjobs.Vantage {
	if front.Domain != n.settings.Domain {
		return openjobs.Vantage{}
	}
	n.mu.Lock()
	hasThird := false
	for _, row := range n.rows {
		isThird := row.PeerAddress != front.Address && row.PeerAddress != n.settings.PeerAddress
		hasThird = hasThird || (isThird && row.Domain == n.settings.Domain)
	}
	n.mu.Unlock()
	tells := func(p member.Peer) bool {
		return p.Address != front.Address && (!hasThird || p.Domain == n.settings.Domain)
	}
	return openjobs.Vantage{SameDomain: slices.ContainsFunc(n.peersInSight(), tells)}
}

// othersToAsk returns some hosts of each domain that may reach a front.
func (n *Node) othersToAsk() []string {
	count := map[string]int{}
	var others []string
	for _, p := range n.peersInSight() {
		if count[p.Domain]++; count[p.Domain] <= askedInDomain {
			others = append(others, p.Address)
		}
	}
	return others
}

var _ peer.Resumer = (*Node)(nil)
