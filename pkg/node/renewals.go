package node

import (
	"bytes"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A process that was paused may read messages of owners before it reads that its callers'
// connections have closed. So it renews the leases of its callers' jobs only up to timestamps
// that were received before its last poll, and only after two polls in a row without a pause.
const (
	// renewInterval is the least time between two polls of the timestamps to renew with.
	renewInterval = 25 * time.Millisecond
	// maxPollGap is the time between two polls beyond which this process counts as paused.
	maxPollGap = openjobs.MaxPollGap
	// maxConsecutiveGaps is how many gaps in a row count as a pause. After more of them the
	// process counts as slow rather than paused, and renews, so that its jobs are served.
	maxConsecutiveGaps = 2
	// minRenewalInterval is the least time between two renewals sent to an owner, who goes
	// through all its jobs at each.
	minRenewalInterval = 100 * time.Millisecond
	// stallMemory is how long after a pause this process polls every renewInterval, so that little
	// time passes between its last poll and the next pause.
	stallMemory = 2 * time.Second
)

// renewals tracks, for each owner, the timestamp up to which this host confirms that its
// callers still wait. It is a timestamp of the owner's clock, so clocks needn't be compared.
// A timestamp is confirmed at the second poll after its arrival, when everything that arrived
// before it has been handled.
type renewals struct {
	mu             sync.Mutex
	timestamps     map[string]*ownerTimestamps // by the owner's address
	confirmedLocal time.Duration               // the same for this host's own cells, by its own clock
	polledAt       time.Duration               // the last poll
	gaps           int                         // consecutive gaps before it
	stalls         openjobs.Stalls             // polls at the same times
}

// ownerTimestamps are the timestamps received from one owner.
type ownerTimestamps struct {
	newest     *peerpb.Moment // nil if none has arrived since the last poll
	pending    *peerpb.Moment // newest as of the last poll; nil if there was none
	confirmed  *peerpb.Moment // the newest confirmed one; nil if there is none yet
	last       *peerpb.Moment // the newest of all
	receivedAt time.Duration  // when it was received
	sentAt     time.Duration  // when the last renewal was sent
	unsent     bool           // confirmed was set after that
}

func newRenewals() *renewals { return &renewals{timestamps: map[string]*ownerTimestamps{}} }

// record records the timestamp at which an owner has sent a reply.
func (r *renewals) record(address string, timestamp *peerpb.Moment, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timestamps[address] == nil {
		r.timestamps[address] = &ownerTimestamps{}
	}
	m := r.timestamps[address]
	for _, known := range []*peerpb.Moment{m.newest, m.pending, m.confirmed} {
		if known != nil && bytes.Equal(known.Incarnation, timestamp.Incarnation) && known.AtUs >= timestamp.AtUs {
			return // a later one arrived before it
		}
	}
	m.newest = timestamp
	m.last, m.receivedAt = timestamp, now
}

// timeAt returns a time that the clock of an owner's process, which has made a timestamp, had reached by
// now; 0 when none is known.
func (r *renewals) timeAt(address string, timestamp *peerpb.Moment, now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.timestamps[address]
	if timestamp == nil || m == nil || m.last == nil || !bytes.Equal(m.last.Incarnation, timestamp.Incarnation) {
		return 0
	}
	return common.Microseconds(m.last.AtUs) + now - m.receivedAt
}

// forget removes the timestamps of an owner that is lost.
func (r *renewals) forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.timestamps, address)
}

// confirmed returns the newest confirmed timestamp of an owner, or nil.
func (r *renewals) confirmed(address string) *peerpb.Moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.timestamps[address]; m != nil {
		return m.confirmed
	}
	return nil
}

// confirmedHere returns the confirmed time for the cells of this host.
func (r *renewals) confirmedHere() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedLocal
}

// poll advances the timestamps: the newest becomes pending, and the pending one confirmed. It
// returns the timestamps to renew with now, by the owner's address, or nil if the last poll
// was less than renewInterval ago or this process was paused since then.
func (r *renewals) poll(now time.Duration) map[string]*peerpb.Moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.polledAt+renewInterval {
		return nil
	}
	last := r.polledAt
	r.polledAt = now
	r.stalls.Poll(now)
	if r.recordGap(now - last) {
		return nil
	}
	r.confirmedLocal = last
	due := map[string]*peerpb.Moment{}
	for address, m := range r.timestamps {
		if m.pending != nil {
			m.confirmed, m.unsent = m.pending, true
		}
		m.pending, m.newest = m.newest, nil
		if m.unsent && now >= m.sentAt+minRenewalInterval {
			m.sentAt, m.unsent = now, false
			due[address] = m.confirmed
		}
	}
	return due
}

// gapUntil returns the time since the last poll; 0 before the first one.
func (r *renewals) gapUntil(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polledAt == 0 {
		return 0
	}
	return now - r.polledAt
}

// wasPausedUntil reports whether this process was paused since the last poll for so long that
// others may have taken it for dead.
func (r *renewals) wasPausedUntil(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now > r.polledAt+maxTickGap
}

// earliestSending is Stalls.EarliestSending.
func (r *renewals) earliestSending(received, arrived time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalls.EarliestSending(received, arrived)
}

// stalledSince is Stalls.EndedSince.
func (r *renewals) stalledSince(since, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalls.EndedSince(since, now)
}

// stalledLongSince is Stalls.LongEndedSince.
func (r *renewals) stalledLongSince(since, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalls.LongEndedSince(since, now)
}

// longStallEndedAt is Stalls.LongEndedAt.
func (r *renewals) longStallEndedAt(now time.Duration) (at time.Duration, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalls.LongEndedAt(now)
}

// standsStillOften is Stalls.StandsStillOften.
func (r *renewals) standsStillOften(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalls.StandsStillOften(now)
}

// recordGap records the time since the last poll, and reports whether this process counts as
// paused meanwhile.
func (r *renewals) recordGap(gap time.Duration) bool {
	switch {
	case gap <= maxPollGap:
		r.gaps = 0
		return false
	case gap > maxTickGap:
		r.gaps = 1
		return true
	}
	r.gaps++
	return r.gaps <= maxConsecutiveGaps
}

// stalledLately reports whether this process was paused a short time ago.
func (n *Node) stalledLately() bool {
	now := n.Clock.Now()
	return n.renewals.stalledSince(now-stallMemory, now)
}

// standsStillOften reports whether this process is paused again and again for so long that it can't
// follow jobs.
func (n *Node) standsStillOften() bool { return n.renewals.standsStillOften(n.Clock.Now()) }

// recordTimestamp records the timestamp of an owner that came with a reply.
func (n *Node) recordTimestamp(address string, reply *peerpb.Message) {
	if reply.Moment != nil {
		n.renewals.record(address, reply.Moment, n.Clock.Now())
	}
}

// renewJobs renews the leases of the jobs that callers of this host wait for, at its own
// cells and at other owners.
func (n *Node) renewJobs(now time.Duration) {
	if gap := n.renewals.gapUntil(now); gap > maxPollGap {
		n.Log.Info("stood_still", "gap_ms", gap.Milliseconds())
	}
	if n.renewals.wasPausedUntil(now) {
		n.openJobTable.markResumed(now)
	}
	due := n.renewals.poll(now)
	if n.renewals.standsStillOften(now) {
		n.refuseOwnUnstarted()
	}
	if due == nil {
		return
	}
	confirmed := n.renewals.confirmedHere()
	for _, o := range n.allOwners() {
		o.renew(nil, confirmed)
	}
	for address, timestamp := range due {
		if link := n.links.Link(address); link != nil && n.front.dispatchedTo(address) {
			link.Send(&peerpb.Message{Body: &peerpb.Message_Renew{Renew: &peerpb.Renew{AsOf: timestamp}}}, 0)
		}
	}
}

// refuseOwnUnstarted refuses the jobs for which only this host's front waits and of which its own cells have
// started nothing: they start nothing for some time after each pause.
func (n *Node) refuseOwnUnstarted() {
	for _, o := range n.allOwners() {
		for _, id := range o.ownUnstarted() {
			o.refuseUnstarted(id, errStandsStill.Error())
		}
	}
}

// timestamp returns the current timestamp of this process, which peers return in renewals.
func (n *Node) timestamp() *peerpb.Moment {
	return &peerpb.Moment{Incarnation: n.inc[:], AtUs: n.Clock.Now().Microseconds()}
}

// withTimestamp adds the timestamp of this process to a reply. Outcomes carry it too, because
// replies to heartbeats are late on a congested link.
func (n *Node) withTimestamp(m *peerpb.Message) *peerpb.Message {
	m.Moment = n.timestamp()
	return m
}

// timeOf returns the time of a timestamp of this process, or 0 if another process made it.
func (n *Node) timeOf(m *peerpb.Moment) time.Duration {
	if m == nil || !bytes.Equal(m.Incarnation, n.inc[:]) {
		return 0
	}
	return min(common.Microseconds(m.AtUs), n.Clock.Now())
}
