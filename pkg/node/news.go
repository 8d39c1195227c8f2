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

// The kinds of news that nodes pass on.
const (
	newsConfiguration uint32 = iota + 1
	newsExecutors
)

// Paces of reading the store, which all nodes share.
const (
	storeTimeout = time.Second
	// wholeTimeout bounds the reading of a whole table. A configuration of 1,500
	// routes takes a link of 2 Mbit/s for 1.5 s.
	wholeTimeout = 4 * time.Second
	// leastMembersPause is the time between answers on rows, so that a series of changes
	// comes as one, and membersAtOnce the number of hosts up to which it is enough: each
	// change has all of them ask again.
	leastMembersPause = 300 * time.Millisecond
	membersAtOnce     = 40
	firstStoreBackoff = 100 * time.Millisecond
	lastStoreBackoff  = 1500 * time.Millisecond
	peerFetchTimeout  = time.Second
)

// inForce is a configuration in force.
type inForce struct {
	snapshot Snapshot
	position uint64 // of the store's history
	parsed   *catalog.Configuration
	packed   func() ([]byte, error) // the body as it is passed on
}

// runNews reads the store until ctx ends.
func (n *Node) runNews(ctx context.Context) {
	go n.followOperator(ctx)
	go n.followMembers(ctx)
	n.awaitRows(ctx)
	n.pollExecutors(ctx)
}

func (n *Node) followOperator(ctx context.Context) {
	n.follow(ctx, followed{
		name: "operator", read: n.readOperator, await: n.awaitOperator,
		passedOn: n.configurationIsPassedOn, known: n.operatorPosition, fails: &n.operatorFails,
	})
}

func (n *Node) readOperator(ctx context.Context) (uint64, error) {
	changes, err := n.store.Operator(ctx)
	if err != nil {
		return 0, err
	}
	return changes.Position, n.takeOperator(changes, 0)
}

func (n *Node) awaitOperator(ctx context.Context, after uint64) (uint64, error) {
	changes, err := n.store.AwaitOperator(ctx, after)
	if err != nil {
		return 0, err
	}
	return changes.Position, n.takeOperator(changes, after)
}

// takeOperator takes what operators have changed since a position in the store's
// history, or all that stands there for position 0.
func (n *Node) takeOperator(changes OperatorChanges, since uint64) error {
	n.noteUnreadable(tableOfOperator, changes.Unreadable)
	closures := catalog.ClosureChanges{Since: since, Position: changes.Position, Closed: changes.Closed, Opened: changes.Opened}
	if err := n.changeClosures(closures, "store"); err != nil {
		return err
	}
	n.offerConfiguration(Snapshot{Revision: changes.Position, Body: changes.Body}, "store")
	return nil
}

// thinLink is the rate below which a large configuration, of some 350 kB, takes
// a link for so long that the nodes of a domain don't all read it from the store.
const thinLink = 10e6 / 8 // bytes a second

// configurationIsPassedOn reports whether this node gets configurations from the
// node that reads for its domain: by a link that is thin, packed to a tenth.
func (n *Node) configurationIsPassedOn() bool {
	return n.onThinLink() && !n.readsForDomain() && !n.readerLost()
}

// onThinLink reports whether this node's link is thin.
func (n *Node) onThinLink() bool {
	rate := n.settings.LinkRate()
	return rate > 0 && rate < thinLink
}

// operatorPosition returns the position in the store's history up to which this
// node knows both the configuration and the closed domains, which peers pass on
// separately; 0 before it knows either.
func (n *Node) operatorPosition() uint64 {
	configuration, closures := n.configuration.Load(), n.closures.Load()
	if configuration == nil || closures == nil {
		return 0
	}
	return min(configuration.position, closures.Position)
}

// offerConfiguration takes a configuration into force if it is newer.
func (n *Node) offerConfiguration(snapshot Snapshot, from string) {
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
	next := &inForce{snapshot: snapshot, position: position, parsed: parsed, packed: sync.OnceValues(func() ([]byte, error) { return pack(snapshot.Body) })}
	var current *inForce
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
	n.heartbeats.outdate()
	n.links.Nudge()
}

// followMembers reads the rows once before it writes the own one: they tell
// whether this node is back or new.
func (n *Node) followMembers(ctx context.Context) {
	if _, err := n.readMembers(ctx); err != nil {
		n.Log.Warn("rows_not_read", "error", err.Error())
	}
	for ctx.Err() == nil && !n.announce(ctx) {
		common.Sleep(ctx, common.Jitter(lastStoreBackoff, common.Unit()))
	}
	n.follow(ctx, followed{name: "members", read: n.readMembers, await: n.awaitMembers, pause: n.membersPause})
}

// rowsPatience is how long after its start a node waits for the rows before it
// reads the list of executors: they tell whether it should.
const rowsPatience = 200 * time.Millisecond

// awaitRows waits for the first reading of the rows.
func (n *Node) awaitRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowsPatience)
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

// announce writes this node's row and reports whether that went well.
func (n *Node) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.store.Announce(ctx, n.ownRow())
	if err != nil {
		n.Log.Warn("row_not_written", "error", err.Error())
	}
	return err == nil
}

// membersPause returns how long to wait between answers on rows. It grows with the hosts, so
// that all of them together ask no more often where there are more.
func (n *Node) membersPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return membersPauseFor(len(n.rows))
}

func membersPauseFor(hosts int) time.Duration {
	return leastMembersPause * time.Duration(max(hosts, membersAtOnce)) / membersAtOnce
}

func (n *Node) readMembers(ctx context.Context) (uint64, error) {
	rows, err := n.store.Members(ctx)
	if err != nil {
		return 0, err
	}
	n.noteUnreadable(tableOfMembers, rows.Unreadable)
	n.setRows(rows.Listed)
	return rows.Position, nil
}

func (n *Node) awaitMembers(ctx context.Context, after uint64) (uint64, error) {
	changes, err := n.store.AwaitMembers(ctx, after)
	if err != nil {
		return 0, err
	}
	n.noteUnreadable(tableOfMembers, changes.Unreadable)
	if n.concernsRows(changes) {
		n.setRows(n.rowsWith(changes))
	}
	return changes.Position, nil
}

// compareNews fetches what a peer has newer.
func (n *Node) compareNews(address string, beat *peerpb.Heartbeat) {
	if current := n.configuration.Load(); current == nil || beat.Version > current.snapshot.Revision {
		if beat.Version > 0 {
			n.startFetch(address, newsConfiguration)
		}
	}
	current := n.executors.Load()
	stale := current == nil && beat.ExecutorsRevision > 0
	newer := current != nil && beat.ExecutorsRevision > current.revision
	// Readers of other domains number the same changes otherwise.
	if stale || newer && (n.storeFails.Load() || n.inOwnDomain(address)) {
		n.startFetch(address, newsExecutors)
	}
}

// startFetch asks a peer for its newest news of a kind, unless enough others
// are being asked: every peer's heartbeat may tell of it at the same time.
func (n *Node) startFetch(address string, kind uint32) {
	if !n.fetches.begin(kind) {
		return
	}
	go func() {
		defer n.fetches.end(kind)
		n.fetch(address, kind)
	}()
}

// fetch asks a peer for its newest news of a kind.
func (n *Node) fetch(address string, kind uint32) {
	link := n.links.Link(address)
	if link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerFetchTimeout)
	defer cancel()
	m, err := n.askForNews(ctx, link, kind)
	if err != nil || m == nil {
		return
	}
	if kind == newsConfiguration {
		n.offerPacked(m, address)
		return
	}
	n.takePassed(m, address)
}

// askForNews returns the news of a kind that a peer has; nil when it answers otherwise.
func (n *Node) askForNews(ctx context.Context, link *peer.Link, kind uint32) (*peerpb.Snapshot, error) {
	fetch := &peerpb.FetchSnapshot{Kind: kind}
	if kind == newsExecutors {
		fetch.Since = n.executorsRevision()
	}
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_FetchSnapshot{FetchSnapshot: fetch}}, 0)
	return answer.GetSnapshot(), err
}

// offerPacked takes a configuration that a peer has passed on.
func (n *Node) offerPacked(m *peerpb.Snapshot, from string) {
	body, err := unpack(m.Body)
	if err != nil {
		n.Log.Error("configuration_unreadable", "from", from, "error", err.Error())
		return
	}
	n.offerConfiguration(Snapshot{Revision: m.Position, Body: body}, from)
}

func (n *Node) onFetchSnapshot(m *peerpb.FetchSnapshot, reply peer.Reply) {
	if m.Kind == newsExecutors {
		reply(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: n.executorsSince(m.Since)}}, 0)
		return
	}
	news := &peerpb.Snapshot{Kind: m.Kind}
	if current := n.configuration.Load(); m.Kind == newsConfiguration && current != nil {
		body, err := current.packed()
		if err != nil {
			n.Log.Error("configuration_not_packed", "version", current.snapshot.Revision, "error", err.Error())
		}
		news.Revision, news.Position, news.Body = current.snapshot.Revision, current.position, body
	}
	reply(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: news}}, 0)
}
