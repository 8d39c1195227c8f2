package node

import (
	"bytes"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A process that wakes may read what owners have sent before it reads that its
// callers' connections have ended. So it vouches for its callers only up to what had
// come before its last look, and only while it runs: two looks in a row without a gap.
const (
	// renewInterval is how often this host looks whether it can renew the leases of
	// its callers' jobs, at most.
	renewInterval = 25 * time.Millisecond
	// longestLook is the time between two looks after which this process must have
	// stood still: it looks each 100 ms when nothing else is to be done.
	longestLook = 150 * time.Millisecond
	// mostGaps is how many gaps in a row count as standing still. After more the host
	// is slow: it has run at each look, and nothing would be served if it never vouched.
	mostGaps = 2
	// renewPause is the least time between two renewals to an owner, who goes through
	// its jobs at each.
	renewPause = 100 * time.Millisecond
)

// renewals remembers up to which moments this host can vouch that its callers
// still wait: of each owner, by the owner's own clock, which needs no comparison of
// clocks. A moment counts from the second look after its arrival on, when
// everything that had come before it has been handled.
type renewals struct {
	mu      sync.Mutex
	moments map[string]*ownerMoments // by the owner's address
	own     time.Duration            // the same for this host's own cells
	looked  time.Duration            // the last look
	gaps    int                      // in a row before it
}

// ownerMoments are those that an owner has told.
type ownerMoments struct {
	newest *peerpb.Moment // nil when none has come since the last look
	aging  *peerpb.Moment // the newest one at the last look; nil when there was none
	sure   *peerpb.Moment // the newest one that counts; nil as long as there is none
	sentAt time.Duration  // the last renewal
	unsent bool           // sure is newer than that
}

func newRenewals() *renewals { return &renewals{moments: map[string]*ownerMoments{}} }

// told takes the moment at which an owner has answered a heartbeat.
func (r *renewals) told(address string, moment *peerpb.Moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moments[address] == nil {
		r.moments[address] = &ownerMoments{}
	}
	m := r.moments[address]
	for _, known := range []*peerpb.Moment{m.newest, m.aging, m.sure} {
		if known != nil && bytes.Equal(known.Incarnation, moment.Incarnation) && known.AtUs >= moment.AtUs {
			return // it has been overtaken
		}
	}
	m.newest = moment
}

// forget takes that an owner is lost.
func (r *renewals) forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.moments, address)
}

// sure returns the newest moment of an owner up to which this host vouches, or nil.
func (r *renewals) sure(address string) *peerpb.Moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.moments[address]; m != nil {
		return m.sure
	}
	return nil
}

// sureHere returns the same for the cells of this host.
func (r *renewals) sureHere() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// look ages the moments: what is newest at one look is aging at the next and counts
// from the one after. It returns those to renew with now, by the owner's address;
// nothing when the last look was a moment ago or too long ago.
func (r *renewals) look(now time.Duration) map[string]*peerpb.Moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.looked+renewInterval {
		return nil
	}
	last := r.looked
	r.looked = now
	if r.stoodStill(now - last) {
		return nil
	}
	r.own = last
	news := map[string]*peerpb.Moment{}
	for address, m := range r.moments {
		if m.aging != nil {
			m.sure, m.unsent = m.aging, true
		}
		m.aging, m.newest = m.newest, nil
		if m.unsent && now >= m.sentAt+renewPause {
			m.sentAt, m.unsent = now, false
			news[address] = m.sure
		}
	}
	return news
}

// sleptUntil reports whether this process must have stood still since the last look for so
// long that others may have taken it for gone.
func (r *renewals) sleptUntil(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now > r.looked+longestGap
}

// stoodStill takes the time since the last look, and reports whether this process
// must have stood still meanwhile.
func (r *renewals) stoodStill(gap time.Duration) bool {
	switch {
	case gap <= longestLook:
		r.gaps = 0
		return false
	case gap > longestGap:
		r.gaps = 1
		return true
	}
	r.gaps++
	return r.gaps <= mostGaps
}

// takeMoment takes the time of an owner that came with a reply.
func (n *Node) takeMoment(address string, reply *peerpb.Message) {
	if reply.Moment != nil {
		n.renewals.told(address, reply.Moment)
	}
}

// renewJobs renews the leases of the jobs that callers of this host wait for.
func (n *Node) renewJobs(now time.Duration) {
	if n.renewals.sleptUntil(now) {
		n.openNews.back(now)
	}
	news := n.renewals.look(now)
	if news == nil {
		return
	}
	here := n.renewals.sureHere()
	for _, o := range n.allOwners() {
		o.renew(nil, here)
	}
	for address, moment := range news {
		if link := n.links.Link(address); link != nil && n.front.dispatchedTo(address) {
			link.Send(&peerpb.Message{Body: &peerpb.Message_Renew{Renew: &peerpb.Renew{AsOf: moment}}}, 0)
		}
	}
}

// moment returns what the time of this process is, for peers to return.
func (n *Node) moment() *peerpb.Moment {
	return &peerpb.Moment{Incarnation: n.inc[:], AtUs: n.Clock.Now().Microseconds()}
}

// withMoment adds the time of this process to a reply. Outcomes carry it too: on a
// full link the replies to heartbeats come late.
func (n *Node) withMoment(m *peerpb.Message) *peerpb.Message {
	m.Moment = n.moment()
	return m
}

// timeOf returns the time of a moment of this process, or 0 when it is of another.
func (n *Node) timeOf(m *peerpb.Moment) time.Duration {
	if m == nil || !bytes.Equal(m.Incarnation, n.inc[:]) {
		return 0
	}
	return min(microseconds(m.AtUs), n.Clock.Now())
}
