package node

import (
	"context"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// The kinds of snapshots that nodes relay.
const (
	snapshotConfiguration uint32 = iota + 1
	snapshotExecutors
)

// Timeouts and intervals of reading the store, which all nodes share.
const (
	storeTimeout = time.Second
	// fullReadTimeout bounds the read of a full table, which takes a slow link several
	// seconds.
	fullReadTimeout = 4 * time.Second
	// minMembersPause is the least time between two requests for changes of the hosts' rows,
	// so that one response covers a series of changes. It applies up to hostsAtMinPause hosts
	// and grows from there: after each change all hosts request the next one.
	minMembersPause   = 300 * time.Millisecond
	hostsAtMinPause   = 40
	maxPauseAlone     = time.Second
	firstStoreBackoff = 100 * time.Millisecond
	lastStoreBackoff  = 1500 * time.Millisecond
	peerFetchTimeout  = time.Second
)

// activeConfiguration is the configuration in force.
type activeConfiguration struct {
	snapshot Snapshot
	position uint64 // in the store's history
	parsed   *catalog.Configuration
	packed   func() ([]byte, error) // the compressed body, for peers
}

// runStoreReaders keeps the configuration, the rows of the hosts and the list of executors up to
// date with the store until ctx ends.
func (n *Node) runStoreReaders(ctx context.Context) {
	go n.followOperator(ctx)
	go n.followMembers(ctx)
	n.awaitRows(ctx)
	n.pollExecutors(ctx)
}

func (n *Node) followOperator(ctx context.Context) {
	n.follow(ctx, followedTable{
		name: "operator", read: n.readOperator, await: n.awaitOperator,
		relayed: n.configurationIsRelayed, relayedPosition: n.operatorPosition, failing: &n.operatorReadFails,
	})
}

func (n *Node) readOperator(ctx context.Context) (uint64, error) {
	changes, err := n.store.Operator(ctx)
	if err != nil {
		return 0, err
	}
	return changes.Position, n.applyOperator(changes, 0)
}

func (n *Node) awaitOperator(ctx context.Context, after uint64) (uint64, error) {
	changes, err := n.store.AwaitOperator(ctx, after)
	if err != nil {
		return 0, err
	}
	return changes.Position, n.applyOperator(changes, after)
}

// applyOperator applies the operators' changes since a position in the store's history, or
// the full table for position 0.
func (n *Node) applyOperator(changes OperatorChanges, since uint64) error {
	n.recordUnreadable(tableOfOperator, changes.Unreadable)
	closures := catalog.ClosureChanges{Since: since, Position: changes.Position, Closed: changes.Closed, Opened: changes.Opened}
	if err := n.changeClosures(closures, "store"); err != nil {
		return err
	}
	n.applyConfiguration(Snapshot{Revision: changes.Position, Body: changes.Body}, "store")
	return nil
}

// slowLinkRate is the rate below which a large configuration occupies a link for so long
// that a node gets it compressed from a peer instead of from the store.
const slowLinkRate = 10e6 / 8 // bytes per second

// configurationIsRelayed reports whether this node gets configurations, compressed, from the
// reader of its domain, since its own link is slow.
func (n *Node) configurationIsRelayed() bool {
	return n.onSlowLink() && !n.readsForDomain() && !n.listConfirmationExpired()
}

func (n *Node) onSlowLink() bool {
	rate := n.settings.LinkRate()
	return rate > 0 && rate < slowLinkRate
}

// operatorPosition returns the position in the store's history up to which this node knows
// both the configuration and the closed domains, which peers relay separately; 0 until it
// knows both.
func (n *Node) operatorPosition() uint64 {
	configuration, closures := n.configuration.Load(), n.closures.Load()
	if configuration == nil || closures == nil {
		return 0
	}
	return min(configuration.position, closures.Position)
}

// applyConfiguration puts a configuration into force if it is newer.
func (n *Node) applyConfiguration(snapshot Snapshot, from string) {
	if len(snapshot.Body) == 0 {
		return
	}
	parsed, err := n.adapter.DecodeConfiguration(snapshot)
	if err != nil {
		n.Log.Error("configuration_unreadable", "from", from, "error", err.Error())
		n.metrics.RowsUnreadable(tableOfOperator, string(catalog.NoDocument), 1)
		return
	}
	position := snapshot.Revision
	snapshot.Revision = parsed.Version
	next := &activeConfiguration{snapshot: snapshot, position: position, parsed: parsed, packed: sync.OnceValues(func() ([]byte, error) { return pack(snapshot.Body) })}
	var current *activeConfiguration
	for {
		current = n.configuration.Load()
		if current != nil && current.parsed.Version >= parsed.Version {
			return
		}
		if n.configuration.CompareAndSwap(current, next) {
			break
		}
	}
	n.Log.Info("configuration_in_force", "version", parsed.Version, "from", from)
	if current == nil || !parsed.SameServices(current.parsed) {
		n.servicesChanged()
	}
	n.heartbeats.invalidate()
	n.links.Nudge()
}

// followMembers reads the hosts' rows before it writes this node's own row: the row that it
// finds shows whether the node has restarted or is new.
func (n *Node) followMembers(ctx context.Context) {
	if _, err := n.readMembers(ctx); err != nil {
		n.Log.Warn("rows_not_read", "error", err.Error())
	}
	for ctx.Err() == nil && !n.announce(ctx) {
		common.Sleep(ctx, common.Jitter(lastStoreBackoff, common.Unit()))
	}
	n.follow(ctx, followedTable{name: "members", read: n.readMembers, await: n.awaitMembers, pause: n.membersPause, failing: &n.membersReadFails})
}

// rowsTimeout is how long after its start a node waits for the hosts' rows before it reads
// the list of executors. The rows determine which node is the reader.
const rowsTimeout = 200 * time.Millisecond

// awaitRows waits for the first read of the hosts' rows.
func (n *Node) awaitRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	for {
		changed := n.changed.wait()
		n.mu.Lock()
		read := n.rowsRead
		n.mu.Unlock()
		if read {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// announce writes this node's row and reports whether it succeeded.
func (n *Node) announce(ctx context.Context) bool { return n.announceRow(ctx, n.ownRow()) }

func (n *Node) announceRow(ctx context.Context, row Member) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.store.Announce(ctx, row)
	if err != nil {
		n.Log.Warn("row_not_written", "error", err.Error())
	}
	return err == nil
}

// membersPause returns how long to wait between two requests for changes of the hosts' rows.
// It grows with the number of hosts, so that their total request rate is bounded. That of hosts that are
// alone, and of the few that answer them, does so less.
func (n *Node) membersPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	pause := membersPauseFor(len(n.memberRows))
	switch {
	case pause == minMembersPause:
		return pause
	case n.members.IsAlone(), n.members.AsksDomains():
		return min(pause, maxPauseAlone)
	case n.members.ShouldAnswer("", n.cannotAnswer, n.Clock.Now()):
		return minMembersPause
	}
	return pause
}

func membersPauseFor(hosts int) time.Duration {
	return minMembersPause * time.Duration(max(hosts, hostsAtMinPause)) / hostsAtMinPause
}

func (n *Node) readMembers(ctx context.Context) (uint64, error) {
	rows, err := n.store.Members(ctx)
	if err != nil {
		return 0, err
	}
	n.recordUnreadable(tableOfMembers, rows.Unreadable)
	n.setRows(rows.Listed)
	n.recordMembersPosition(rows.Position)
	if n.isAlone() || n.asksDomains() {
		n.handleMarks(rows)
	}
	return rows.Position, nil
}

func (n *Node) awaitMembers(ctx context.Context, after uint64) (uint64, error) {
	changes, err := n.store.AwaitMembers(ctx, after)
	if err != nil {
		return 0, err
	}
	n.recordUnreadable(tableOfMembers, changes.Unreadable)
	if n.affectsRows(changes) {
		n.setRows(n.rowsWith(changes))
	}
	n.recordMembersPosition(changes.Position)
	n.handleMarks(changes)
	return changes.Position, nil
}

func (n *Node) recordMembersPosition(position uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membersPosition = position
}

// fetchNewer fetches from a peer what is newer there according to its heartbeat.
func (n *Node) fetchNewer(address string, heartbeat *peerpb.Heartbeat) {
	if !isPlausible(heartbeat.Version) || !isPlausible(heartbeat.ExecutorsRevision) {
		return
	}
	if current := n.configuration.Load(); current == nil || heartbeat.Version > current.snapshot.Revision {
		if heartbeat.Version > 0 {
			n.startFetch(address, snapshotConfiguration)
		}
	}
	current := n.executors.Load()
	stale := current == nil && heartbeat.ExecutorsRevision > 0
	newer := current != nil && heartbeat.ExecutorsRevision > current.revision
	// Revisions of other domains' readers are not comparable with those of this domain.
	if stale || newer && (n.listReadFails.Load() || n.inOwnDomain(address)) {
		n.startFetch(address, snapshotExecutors)
	}
}

// startFetch starts to fetch a peer's snapshot of a kind, unless enough fetches of that kind
// are running: the heartbeats of all peers may announce it at the same time.
func (n *Node) startFetch(address string, kind uint32) {
	if !n.fetches.begin(kind) {
		return
	}
	go func() {
		defer n.fetches.end(kind)
		n.fetch(address, kind)
	}()
}

// fetch fetches a peer's snapshot of a kind and applies it.
func (n *Node) fetch(address string, kind uint32) {
	link := n.links.Link(address)
	if link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerFetchTimeout)
	defer cancel()
	m, err := n.fetchSnapshot(ctx, link, kind)
	if err != nil || m == nil {
		return
	}
	if kind == snapshotConfiguration {
		n.applyPackedConfiguration(m, address)
		return
	}
	n.handleRelayed(m, address)
}

// fetchSnapshot fetches a peer's snapshot of a kind. It returns nil if the response is of
// another type.
func (n *Node) fetchSnapshot(ctx context.Context, link *peer.Link, kind uint32) (*peerpb.Snapshot, error) {
	fetch := &peerpb.FetchSnapshot{Kind: kind}
	if kind == snapshotExecutors {
		fetch.Since = n.executorsRevision()
	}
	response, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_FetchSnapshot{FetchSnapshot: fetch}}, 0)
	return response.GetSnapshot(), err
}

// applyPackedConfiguration applies a compressed configuration that a peer sent.
func (n *Node) applyPackedConfiguration(m *peerpb.Snapshot, from string) {
	if !hasPlausiblePositions(m) {
		return
	}
	body, err := unpack(m.Body)
	if err != nil {
		n.Log.Error("configuration_unreadable", "from", from, "error", err.Error())
		return
	}
	n.applyConfiguration(Snapshot{Revision: m.Position, Body: body}, from)
}

func (n *Node) onFetchSnapshot(m *peerpb.FetchSnapshot, reply peer.Reply) {
	if m.Kind == snapshotExecutors {
		reply(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: n.executorsSince(m.Since)}}, 0)
		return
	}
	snapshot := &peerpb.Snapshot{Kind: m.Kind}
	if current := n.configuration.Load(); m.Kind == snapshotConfiguration && current != nil {
		body, err := current.packed()
		if err != nil {
			n.Log.Error("configuration_not_packed", "version", current.snapshot.Revision, "error", err.Error())
		}
		snapshot.Revision, snapshot.Position, snapshot.Body = current.snapshot.Revision, current.position, body
	}
	reply(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: snapshot}}, 0)
}
