package node

import (
	"context"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

// Intervals and limits of reading the list of executors from the store, which all nodes share.
const (
	// readerInterval is how often the node that reads the list for its domain does so.
	readerInterval = 500 * time.Millisecond
	// ownersInterval and othersInterval are how often the other nodes ping the store:
	// those that own a cell and those that own none.
	ownersInterval = time.Second
	othersInterval = 5 * time.Second
	// relayedListExpiry is how long a node waits without a confirmation by its reader
	// before it reads the list itself.
	relayedListExpiry = 2500 * time.Millisecond
	// firstListPollInterval is how often a node that waits for its first list checks for it.
	firstListPollInterval = 50 * time.Millisecond
	// fullReadInterval is the minimum time between two reads of the full list, which
	// takes a slow link a considerable time: a link of 2 Mbit/s takes a sixth of a second for
	// 100 executors.
	fullReadInterval = 2 * time.Second
	// urgentReadInterval replaces fullReadInterval on a node that has claimed a cell.
	urgentReadInterval = 250 * time.Millisecond
	// maxPositionAge is the age up to which reading continues from a position. Each
	// executor writes its clock every 1.5 s and each write is a change, so that the
	// changes since an older position outnumber the entries of the full list.
	maxPositionAge = 1500 * time.Millisecond
	// missingEntriesPeriod is how long entries of running executors may be missing from the list
	// after the store has become reachable again. Executors that vanish from the list are kept
	// for as long.
	missingEntriesPeriod = 3 * time.Second
	// largeTransferBytes is the amount of data which, if received from the store while calls
	// failed, shows that a large response occupied the link and the store was reachable.
	largeTransferBytes = 32 << 10
	// unknownReadTime is the read time of a first list that a peer relayed, which is not known here.
	unknownReadTime = -1
)

// pollExecutors keeps the list of executors up to date until ctx ends. One node of a
// domain reads it and relays the changes. The others only ping the store, and read the
// list themselves when they have claimed a cell or no reader has confirmed the list.
func (n *Node) pollExecutors(ctx context.Context) {
	backoff := firstStoreBackoff
	storeFailing := false
	receivedBefore := uint64(0) // bytes from the store at the first failure
	for ctx.Err() == nil {
		task := n.nextListTask()
		wait := task.pause
		askedStore, err := n.runListTask(ctx, task)
		switch {
		case !askedStore:
			// The result says nothing about the store.
		case err != nil:
			n.metrics.StoreFailed("executors")
			n.listReadFails.Store(true)
			n.listReadableSince.Store(0)
			if !storeFailing {
				receivedBefore = n.meter.Of(traffic.Store).In()
			}
			storeFailing = true
			wait = backoff
			backoff = min(2*backoff, lastStoreBackoff)
		default:
			n.listReadFails.Store(false)
			if storeFailing && n.meter.Of(traffic.Store).In() < receivedBefore+largeTransferBytes {
				n.storeRecovered.signal()
			}
			storeFailing = false
			backoff = firstStoreBackoff
		}
		n.sleepUnlessListRequested(ctx, common.Jitter(wait, common.Unit()))
	}
}

// requestList ends the pause before the next read of the list of executors.
func (n *Node) requestList() {
	select {
	case n.listRequested <- struct{}{}:
	default: // already requested
	}
}

// sleepUnlessListRequested waits for d, or until the list is requested: because a cell
// was claimed, or because this node has become the reader of its domain.
func (n *Node) sleepUnlessListRequested(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.listRequested:
	}
}

// listTask is the next step of a node in keeping the list up to date.
type listTask struct {
	idle       bool // do nothing
	read       bool // read the list or its changes; else only ping the store
	tryLeading bool // try the reader of the leading domain first
	urgent     bool // an owner needs the list
	pause      time.Duration
}

func (n *Node) nextListTask() listTask {
	owners := n.allOwners()
	reads := n.readsForDomain()
	n.isListReader.Store(reads)
	switch {
	case n.awaitsFirstList():
		return listTask{idle: true, pause: firstListPollInterval}
	case n.ownersNeedReading(owners):
		return listTask{read: true, urgent: true, pause: urgentReadInterval}
	case n.keptJobsNeedReading(owners):
		return listTask{read: true, pause: readerInterval}
	case reads && n.followsLeading():
		return listTask{read: true, tryLeading: true, pause: followInterval}
	case reads:
		return listTask{read: true, pause: readerInterval}
	case n.executors.Load() == nil || n.listConfirmationExpired():
		return listTask{read: true, pause: ownersInterval}
	case len(owners) > 0:
		return listTask{pause: ownersInterval}
	}
	return listTask{pause: othersInterval}
}

// ownersNeedReading reports whether a cell was claimed after the list was last read, or
// whether a read would now list all executors of a cell's former owner for the first time.
func (n *Node) ownersNeedReading(owners []*owner) bool {
	current := n.executors.Load()
	if current == nil {
		return false
	}
	since := time.Duration(n.listReadableSince.Load())
	lapsesOver := since > 0 && n.Clock.Now() >= since+missingEntriesPeriod
	for _, o := range owners {
		if current.askedAt < o.claimedAt || lapsesOver && !current.completeFor(o.claimedAt) {
			return true
		}
	}
	return false
}

// keptJobsNeedReading reports whether kept jobs at this host may depend on what it reads of the list, as it
// may be cut off from other hosts.
func (n *Node) keptJobsNeedReading(owners []*owner) bool {
	return n.mayBeCutOff(n.Clock.Now()) && slices.ContainsFunc(owners, (*owner).hasKeptJobs)
}

// listConfirmationExpired reports whether the list hasn't been confirmed for too long.
func (n *Node) listConfirmationExpired() bool {
	return n.Clock.Now() > n.listConfirmedAt()+relayedListExpiry
}

// listConfirmedAt returns when this node or the reader of its domain is known to have last
// requested the list from the store.
func (n *Node) listConfirmedAt() time.Duration {
	confirmed := time.Duration(n.listConfirmedByPeerAt.Load())
	if current := n.executors.Load(); current != nil {
		confirmed = max(confirmed, current.askedAt)
	}
	return confirmed
}

// runListTask executes a task and reports whether it called the store.
func (n *Node) runListTask(ctx context.Context, task listTask) (askedStore bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	askedAt := n.Clock.Now()
	if task.idle {
		return false, nil
	}
	fetched := task.tryLeading && n.fetchFromLeading(ctx, askedAt)
	if task.read && !fetched {
		return true, n.readExecutors(ctx, askedAt, task.urgent)
	}
	if fetched && !n.leading.pingIsDue(askedAt) {
		return false, nil
	}
	return true, n.pingStore(ctx, askedAt)
}

func (n *Node) pingStore(ctx context.Context, askedAt time.Duration) error {
	if err := n.store.Ping(ctx); err != nil {
		return err
	}
	n.recordReadable(askedAt)
	n.removeVanished()
	return nil
}

// recordReadable records since when the store has been readable, unless that is known.
func (n *Node) recordReadable(askedAt time.Duration) {
	n.listReadableSince.CompareAndSwap(0, int64(askedAt))
}

// removeVanished republishes the list if executors are missing from it, so that those
// missing for longer than their retention are removed.
func (n *Node) removeVanished() {
	n.listing.Lock()
	defer n.listing.Unlock()
	if current := n.executors.Load(); current != nil && n.history.Vanished() > 0 {
		n.publish(true, current.askedAt)
	}
}

// readExecutors reads the changes of the list from the store, or the full list if the
// changes can't or shouldn't be read.
func (n *Node) readExecutors(ctx context.Context, askedAt time.Duration, urgent bool) error {
	n.listing.Lock()
	full, position := n.roster.NeedsFull(), n.roster.Position()
	n.listing.Unlock()
	if full || n.positionIsOld(askedAt) {
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

// readChanges reads changes until the store reports no more: thousands of executors
// write more changes within readerInterval than one response holds.
func (n *Node) readChanges(ctx context.Context, askedAt time.Duration, position uint64) error {
	for {
		changes, err := n.store.ExecutorChanges(ctx, position)
		if err != nil {
			return err
		}
		n.recordUnreadable(tableOfExecutors, changes.Unreadable)
		if !changes.More {
			n.applyReading(askedAt, func() (accepted, changed bool) {
				return true, n.roster.ApplyChanges(changes)
			})
			return nil
		}
		n.applyPartialChanges(changes)
		position = changes.Revision
	}
}

// applyPartialChanges applies changes that are followed by more, and therefore don't
// confirm the list as of now.
func (n *Node) applyPartialChanges(changes *catalog.ExecutorChanges) {
	n.listing.Lock()
	defer n.listing.Unlock()
	n.applyAsOf(n.executors.Load().askedAt, func() (accepted, changed bool) {
		return true, n.roster.ApplyChanges(changes)
	})
}

// applyReading applies a response of the store to the roster, publishes the result and
// relays it.
func (n *Node) applyReading(askedAt time.Duration, apply func() (accepted, changed bool)) {
	n.recordReadable(askedAt)
	n.listing.Lock()
	defer n.listing.Unlock()
	n.applyAsOf(askedAt, apply)
}

// applyAsOf applies a response that holds the state of the store at askedAt. n.listing is
// held.
func (n *Node) applyAsOf(askedAt time.Duration, apply func() (accepted, changed bool)) {
	before := n.roster.Revision()
	accepted, changed := apply()
	if !accepted {
		return
	}
	n.publish(changed, askedAt)
	n.relayChanges(before)
}

// positionIsOld reports whether the changes since the last read are likely to outnumber
// the entries of the full list.
func (n *Node) positionIsOld(now time.Duration) bool {
	current := n.executors.Load()
	return current == nil || now > current.askedAt+maxPositionAge
}

// readAllExecutors reads the full list, unless it was read a short time ago.
func (n *Node) readAllExecutors(ctx context.Context, askedAt time.Duration, urgent bool) error {
	pause := fullReadInterval
	if urgent {
		pause = urgentReadInterval
	}
	n.listing.Lock()
	mayRead := n.roster.MayReadFull(askedAt, pause)
	n.listing.Unlock()
	if !mayRead {
		return nil
	}
	list, err := n.store.Executors(ctx)
	if err != nil {
		return err
	}
	n.recordUnreadable(tableOfExecutors, list.Unreadable)
	n.applyReading(askedAt, func() (accepted, changed bool) {
		return n.roster.ApplyFull(list, n.Clock.Now())
	})
	return nil
}

// publish makes the state of the roster, which was requested from the store at askedAt,
// the list that the node and its owners use. n.listing is held.
func (n *Node) publish(changed bool, askedAt time.Duration) {
	current := n.executors.Load()
	since := time.Duration(n.listReadableSince.Load())
	steady := since > 0 && askedAt >= since+missingEntriesPeriod
	var next *listing
	if changed || current == nil || n.history.Vanished() > 0 {
		executors, checked := n.callableExecutors(n.history.Join(n.roster.Executors(), n.Clock.Now(), steady))
		sizes := sizesOf(executors)
		next = newListing(askedAt, executors, sizes, n.cellCounts(sizes))
		next.servicesChecked = checked
		next.chooseFollowed(n.settings.Name, n.settings.Domain)
		next.recordPresence(current, n.roster.Executors(), n.history.Vanished() > 0, n.Clock.Now())
	} else {
		next = current.withAskedAt(askedAt)
	}
	next.steady = steady
	n.executors.Store(next)
	for _, o := range n.allOwners() {
		o.setExecutors(next)
	}
}
