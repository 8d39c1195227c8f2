package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

// Paces of following the list of executors in the store, which all nodes share.
const (
	// readerInterval is that of the node that reads the list for its domain: an
	// executor that leaves is known as such within two seconds.
	readerInterval = 500 * time.Millisecond
	// ownersInterval and othersInterval are those at which the other nodes look
	// whether the store can be read.
	ownersInterval = time.Second
	othersInterval = 5 * time.Second
	// passedLife is how long a node without word of its reader waits before it
	// reads by itself.
	passedLife = 2500 * time.Millisecond
	// firstListPause is how often a node looks whether it has a first list.
	firstListPause = 50 * time.Millisecond
	// wholeInterval is the least time between two readings of the whole list. A
	// list of a hundred takes a link of 2 Mbit/s for a sixth of a second.
	wholeInterval = 2 * time.Second
	// urgentInterval is the same for a node that has claimed a cell.
	urgentInterval = 250 * time.Millisecond
	// feedLife is how old a position may be to go on from. Executors write their
	// clocks every 1.5 s, and each time shows in the feed, so that the changes
	// of a longer time are more than the whole list.
	feedLife = 1500 * time.Millisecond
	// lapseTime is how long after the store can be reached again entries of
	// living executors may be missing.
	lapseTime = 3 * time.Second
	// transferBytes tell, when they came while the store seemed not to answer,
	// that a long answer of it had taken the link.
	transferBytes = 32 << 10
	// unknownAge marks a list that a peer passed on.
	unknownAge = -1
)

// pollExecutors follows the list of executors. One node of a domain reads it
// and passes changes on; the others look whether the store can be read, and
// read by themselves when they have claimed a cell, or hear of no reader.
func (n *Node) pollExecutors(ctx context.Context) {
	backoff := firstStoreBackoff
	failing := false
	received := uint64(0) // from the store when a look first failed
	for ctx.Err() == nil {
		duty := n.listDuty()
		wait := duty.pause
		asked, err := n.doDuty(ctx, duty)
		switch {
		case !asked:
			// Nothing was learnt of the store.
		case err != nil:
			n.metrics.StoreFailed("executors")
			n.storeFails.Store(true)
			n.readingSince.Store(0)
			if !failing {
				received = n.meter.Of(traffic.Store).In()
			}
			failing = true
			wait = backoff
			backoff = min(2*backoff, lastStoreBackoff)
		default:
			n.storeFails.Store(false)
			if failing && n.meter.Of(traffic.Store).In() < received+transferBytes {
				n.regained.signal()
			}
			failing = false
			backoff = firstStoreBackoff
		}
		n.sleepUnlessClaimed(ctx, common.Jitter(wait, common.Unit()))
	}
}

// askForList has the list of executors read without a pause.
func (n *Node) askForList() {
	select {
	case n.claimed <- struct{}{}:
	default: // it is asked for already
	}
}

// sleepUnlessClaimed waits for d, or until the list is asked for: by a cell that
// was claimed, or as this node is to read it for its domain from now on.
func (n *Node) sleepUnlessClaimed(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.claimed:
	}
}

// listDuty is what a node does next to follow the list.
type listDuty struct {
	idle    bool // nothing
	read    bool // the list or its changes; else the node only looks whether the store can be read
	follows bool // by the reader of another domain, if that one can tell
	urgent  bool // an owner waits for it
	pause   time.Duration
}

// listDuty decides what to do next.
func (n *Node) listDuty() listDuty {
	owners := n.allOwners()
	reads := n.readsForDomain()
	n.readsList.Store(reads)
	switch {
	case n.awaitsFirstList():
		return listDuty{idle: true, pause: firstListPause}
	case n.ownersWait(owners):
		return listDuty{read: true, urgent: true, pause: urgentInterval}
	case reads && n.followsLeading():
		return listDuty{read: true, follows: true, pause: followInterval}
	case reads:
		return listDuty{read: true, pause: readerInterval}
	case n.executors.Load() == nil || n.readerLost():
		return listDuty{read: true, pause: ownersInterval}
	case len(owners) > 0:
		return listDuty{pause: ownersInterval}
	}
	return listDuty{pause: othersInterval}
}

// ownersWait reports whether a cell was claimed since the list was last read,
// or whether a reading would now name all executors of its former owner.
func (n *Node) ownersWait(owners []*owner) bool {
	current := n.executors.Load()
	if current == nil {
		return false
	}
	since := time.Duration(n.readingSince.Load())
	lapsesOver := since > 0 && n.Clock.Now() >= since+lapseTime
	for _, o := range owners {
		if current.askedAt < o.claimedAt || lapsesOver && !current.completeFor(o.claimedAt) {
			return true
		}
	}
	return false
}

// readerLost reports whether the list hasn't been confirmed for too long.
func (n *Node) readerLost() bool {
	return n.Clock.Now() > n.listConfirmedAt()+passedLife
}

// listConfirmedAt returns when this node, or the reader of its domain, last asked
// the store for the list, as far as is known here.
func (n *Node) listConfirmedAt() time.Duration {
	confirmed := time.Duration(n.passedAt.Load())
	if current := n.executors.Load(); current != nil {
		confirmed = max(confirmed, current.askedAt)
	}
	return confirmed
}

// doDuty follows the list, and reports whether it asked the store for anything.
func (n *Node) doDuty(ctx context.Context, duty listDuty) (asked bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	askedAt := n.Clock.Now()
	if duty.idle {
		return false, nil
	}
	followed := duty.follows && n.askLeading(ctx, askedAt)
	if duty.read && !followed {
		return true, n.readExecutors(ctx, askedAt, duty.urgent)
	}
	if followed && !n.leading.lookIsDue(askedAt) {
		return false, nil
	}
	return true, n.lookAtStore(ctx, askedAt)
}

// lookAtStore asks the store for nothing but an answer.
func (n *Node) lookAtStore(ctx context.Context, askedAt time.Duration) error {
	if err := n.store.Ping(ctx); err != nil {
		return err
	}
	n.noteReading(askedAt)
	n.forgetVanished()
	return nil
}

// noteReading notes since when the store can be read.
func (n *Node) noteReading(askedAt time.Duration) {
	n.readingSince.CompareAndSwap(0, int64(askedAt))
}

// forgetVanished drops executors that have been missing for long enough.
func (n *Node) forgetVanished() {
	n.listing.Lock()
	defer n.listing.Unlock()
	if current := n.executors.Load(); current != nil && n.history.Vanished() > 0 {
		n.publish(true, current.askedAt)
	}
}

// readExecutors asks the store for what has changed, or for the whole list.
func (n *Node) readExecutors(ctx context.Context, askedAt time.Duration, urgent bool) error {
	n.listing.Lock()
	whole, position := n.roster.NeedsFull(), n.roster.Position()
	n.listing.Unlock()
	if whole || n.positionIsOld(askedAt) {
		return n.readAllExecutors(ctx, askedAt, urgent)
	}
	err := n.readChanges(ctx, askedAt, position)
	if errkind.Of(err) == errkind.NotFound {
		n.Log.Info("executors_history_gone", "since", position)
		n.listing.Lock()
		n.roster.MarkIncomplete()
		n.listing.Unlock()
		return n.readAllExecutors(ctx, askedAt, urgent)
	}
	return err
}

// readChanges asks for what has changed until the store has no more to tell: of
// thousands of executors more changes than an answer holds within readerInterval.
func (n *Node) readChanges(ctx context.Context, askedAt time.Duration, position uint64) error {
	for {
		changes, err := n.store.ExecutorChanges(ctx, position)
		if err != nil {
			return err
		}
		n.noteUnreadable(tableOfExecutors, changes.Unreadable)
		if !changes.More {
			n.takeReading(askedAt, func() (accepted, news bool) {
				return true, n.roster.ApplyChanges(changes)
			})
			return nil
		}
		n.takePart(changes)
		position = changes.Revision
	}
}

// takePart takes changes that don't tell the state as of now yet.
func (n *Node) takePart(changes *catalog.ExecutorChanges) {
	n.listing.Lock()
	defer n.listing.Unlock()
	n.takeAsOf(n.executors.Load().askedAt, func() (accepted, news bool) {
		return true, n.roster.ApplyChanges(changes)
	})
}

// takeReading takes an answer of the store into the roster, acts on it and
// passes it on.
func (n *Node) takeReading(askedAt time.Duration, take func() (accepted, news bool)) {
	n.noteReading(askedAt)
	n.listing.Lock()
	defer n.listing.Unlock()
	n.takeAsOf(askedAt, take)
}

// takeAsOf takes an answer of the store that tells the state as of the time at
// which it was asked. n.listing is held.
func (n *Node) takeAsOf(askedAt time.Duration, take func() (accepted, news bool)) {
	before := n.roster.Revision()
	accepted, news := take()
	if !accepted {
		return
	}
	n.publish(news, askedAt)
	n.passOn(before)
}

// positionIsOld reports whether the changes since the last reading are likely to
// be more than the whole list.
func (n *Node) positionIsOld(now time.Duration) bool {
	current := n.executors.Load()
	return current == nil || now > current.askedAt+feedLife
}

// readAllExecutors reads the whole list, unless it has just done so.
func (n *Node) readAllExecutors(ctx context.Context, askedAt time.Duration, urgent bool) error {
	pause := wholeInterval
	if urgent {
		pause = urgentInterval
	}
	n.listing.Lock()
	may := n.roster.MayReadFull(askedAt, pause)
	n.listing.Unlock()
	if !may {
		return nil
	}
	list, err := n.store.Executors(ctx)
	if err != nil {
		return err
	}
	n.noteUnreadable(tableOfExecutors, list.Unreadable)
	n.takeReading(askedAt, func() (accepted, news bool) {
		return n.roster.ApplyFull(list, n.Clock.Now())
	})
	return nil
}

// publish has the node act on what the roster says, which the store was asked
// for at askedAt. n.listing is held.
func (n *Node) publish(changed bool, askedAt time.Duration) {
	current := n.executors.Load()
	var next *listing
	if changed || current == nil || n.history.Vanished() > 0 {
		executors, checked := n.called(n.history.Join(n.roster.Executors(), n.Clock.Now()))
		sizes := sizesOf(executors)
		next = newListing(askedAt, executors, sizes, n.cellCounts(sizes))
		next.checked = checked
		next.follow(n.settings.Name, n.settings.Domain)
	} else {
		next = current.confirmed(askedAt)
	}
	since := time.Duration(n.readingSince.Load())
	next.steady = since > 0 && askedAt >= since+lapseTime
	n.executors.Store(next)
	for _, o := range n.allOwners() {
		o.setExecutors(next)
	}
}
