package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/keeping"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/rowlog"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/traffic"
	"github.com/pkg/errors"
)

// Intervals of the node's periodic work.
const (
	tickInterval  = 25 * time.Millisecond  // between ticks of the owned cells
	claimInterval = 100 * time.Millisecond // between searches for cells without an owner
	// nonHubClaimInterval replaces claimInterval on a node of a large domain that is no
	// hub and owns no cell: such a node claims cells only when no hub does.
	nonHubClaimInterval = 400 * time.Millisecond
	linkRefreshInterval = time.Second // between updates of the set of links to peers
)

// Node is the process of one host.
type Node struct {
	*common.Common
	settings *settings.Node
	inc      once.Incarnation
	adapter  Adapter
	store    Store
	meter    *traffic.Meter
	counters *peer.Counters
	metrics  *metrics.Node
	order    func() cell.Order // makes the scheduling order of a cell's jobs
	links    *peer.Set
	peers    *peer.Server

	leaving               atomic.Bool  // a planned stop has begun
	isListReader          atomic.Bool  // as of the last check, this node reads the executor list for its domain
	isHub                 atomic.Bool  // as of the last check, this node may own cells of its domain
	listReadFails         atomic.Bool  // the last read of the executor list failed
	operatorReadFails     atomic.Bool  // the last read of the operators' changes failed
	membersReadFails      atomic.Bool  // the last read of the hosts' rows failed
	questionFails         atomic.Bool  // the last question whether other hosts live wasn't written, or may not have been
	listReadableSince     atomic.Int64 // since when the executor list has been readable, as a time of the clock; 0 while it is not
	listing               sync.Mutex   // guards roster, history and listRelayedAt; held while a read of the executor list is applied
	roster                *catalog.Roster
	listRelayedAt         time.Duration // when the list was last relayed to the nodes of the domain
	history               *catalog.History
	configuration         atomic.Pointer[activeConfiguration]
	closures              atomic.Pointer[catalog.Closures]
	executors             atomic.Pointer[listing]
	listConfirmedByPeerAt atomic.Int64  // when a message of a peer that reads the list last arrived, as a time of the clock
	changed               *broadcast    // signals a change of membership or claims
	storeRecovered        *broadcast    // signals that the store answers again
	listRequested         chan struct{} // requests an immediate read of the executor list
	contactAt             atomic.Int64  // when this host was last in contact with half of the hosts, see kept_lease.go, as a time of the clock
	contactUnsureUntil    atomic.Int64  // until when this host may be out of contact with its domain, see contact, as a time of the clock
	viewVersion           atomic.Uint64 // increases when a host joins, leaves or begins to leave
	heartbeats            heartbeats
	arrivals              *arrivals
	renewals              *renewals
	fetches               *fetches
	leading               leading
	rowLog                *rowlog.Log
	openJobTable          *openJobTable
	crashes               *crashHistory
	ownedAnnouncedAt      time.Duration // last scan for jobs to announce to other owners; used by runCells only
	joins                 *joins

	mu         sync.Mutex // guards what follows
	members    *member.Table
	claims     *ownership.Table
	resizing   *ownership.CellCounts
	memberRows map[string]Member // the nodes' rows in the store, by node name
	rowsRead   bool              // the nodes' rows have been read at least once

	membersPosition uint64 // in the store's history up to which the nodes' rows have been read
	isolation       isolation
	sightings       sightings
	majority        majority

	leadingDomain string // domain whose reader follows the executor list for all domains; empty when not known

	restarted          bool                     // the first read of the rows contained this node's own: it has restarted
	unowned            []string                 // cells of this domain without an owner that this host reaches
	witnesses          map[string]bool          // hosts by whose reports each such cell has an owner, by address; nil if one has none
	heardAt            map[string]time.Duration // when hosts of this domain sent a heartbeat last, or replied to one, by address
	reachesOthersSince time.Duration            // when this host first reached another one, after it had reached none of its domain or none at all
	domainLostAt       time.Duration            // when the link to a host of this domain went down last
	domainHeardAt      time.Duration            // when a host of this domain sent a heartbeat last, or replied to one
	ownerLostUntil     time.Duration            // an owner of a cell of this domain counts as unreachable from here only until then
	shortOfCapacity    bool                     // this domain is short of capacity
	lastReachable      map[string]time.Duration // when the node of a row was last reachable, by node name
	peerCounts         map[string]map[string]int
	storeUnreachable   map[string]bool // nodes that cannot read the store, by address
	listReaders        map[string]bool // nodes that read the executor list for their domains, by address
	owners             map[string]*owner

	front          *front
	keeping        *keeping.Service
	servesKept     bool
	foreignDomains *foreignDomains

	countDroppedLines func() uint64 // nil when dropped lines are not counted
	servers           []*http.Server
	stop              context.CancelFunc
}

// NewNode returns a node that has not been started.
func NewNode(c *common.Common, s *settings.Node, inc once.Incarnation, adapter Adapter, meter *traffic.Meter) (*Node, error) {
	order, err := cell.Orders.Get(s.Order)
	if err != nil {
		return nil, err
	}
	c = c.With("node", s.Name)
	n := &Node{
		Common:           c,
		settings:         s,
		order:            order,
		inc:              inc,
		adapter:          adapter,
		store:            adapter.Store(),
		meter:            meter,
		counters:         &peer.Counters{Wire: meter.Of(traffic.Peers)},
		changed:          newBroadcast(),
		storeRecovered:   newBroadcast(),
		listRequested:    make(chan struct{}, 1),
		arrivals:         newArrivals(),
		renewals:         newRenewals(),
		roster:           catalog.NewRoster(),
		history:          catalog.NewHistory(missingEntriesPeriod),
		fetches:          newFetches(),
		rowLog:           rowlog.New(),
		memberRows:       map[string]Member{},
		lastReachable:    map[string]time.Duration{},
		peerCounts:       map[string]map[string]int{},
		heardAt:          map[string]time.Duration{},
		sightings:        newSightings(),
		storeUnreachable: map[string]bool{},
		listReaders:      map[string]bool{},
		owners:           map[string]*owner{},
	}
	self := member.Peer{Name: s.Name, Domain: s.Domain, Address: s.PeerAddress, Incarnation: inc}
	n.members = member.NewTable(self, excludeAddress(s.Seeds, s.PeerAddress), linksToOtherDomains)
	n.isHub.Store(true) // until the nodes' rows have been read
	limits := ownership.DefaultLimits()
	limits.Heartbeat, limits.SuspectAfter = s.Heartbeat, s.SuspectAfter
	n.claims = ownership.NewTable(limits, c.Clock.Now())
	n.resizing = ownership.NewCellCounts()
	link := settings.Link{Heartbeat: s.Heartbeat, SuspectAfter: s.SuspectAfter}
	n.links = peer.NewSet(c, link, n, n.counters)
	n.openJobTable = newOpenJobTable(s.ResubmitAfter, n.settleTime())
	n.crashes = newCrashHistory()
	n.joins = newJoins()
	n.front = newFront(n)
	n.foreignDomains = newForeignDomains()
	instruments, err := metrics.NewNode(n.gauges, meter)
	if err != nil {
		return nil, err
	}
	n.metrics = instruments
	n.servesKept = servesKept
	n.keeping = keeping.NewService(c, &keptHost{node: n}, adapter.Tables(), instruments)
	return n, nil
}

// linksToOtherDomains is the number of links that a node keeps to each other
// domain, in addition to the links to the owners of that domain's cells.
const linksToOtherDomains = 3

// excludeAddress returns the addresses other than own.
func excludeAddress(addresses []string, own string) []string {
	var others []string
	for _, address := range addresses {
		if address != own {
			others = append(others, address)
		}
	}
	return others
}

// Start opens the node's listeners and starts its background work.
func (n *Node) Start() error {
	peerListener, err := net.Listen("tcp", n.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.peers = peer.NewServer(n.Common, peerListener, n, n, n.counters)
	go n.peers.Serve()
	n.refreshLinks()
	if err := n.serve(n.settings.ReadyAddress, n.adapter.Readiness(n), nil); err != nil {
		return err
	}
	if err := n.serve(n.settings.FrontAddress, n.adapter.Front(n), n.configureFront); err != nil {
		return err
	}
	if address := n.settings.MetricsAddress; address != "" {
		if err := n.serve(address, metricsHandler(n.metrics), nil); err != nil {
			return err
		}
	}
	go n.runStoreReaders(ctx)
	go n.runRows(ctx)
	go n.runCells(ctx)
	go n.runTraffic(ctx)
	if n.servesKept {
		go n.keeping.Run(ctx)
	}
	n.Log.Info("started", "incarnation", n.inc.String(), "domain", n.settings.Domain, "front", n.settings.FrontAddress, "peers", n.settings.PeerAddress)
	return nil
}

func (n *Node) serve(address string, handler http.Handler, configure func(*http.Server)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen on "+address)
	}
	listener = n.meter.Of(traffic.Callers).Listener(listener)
	server := &http.Server{Handler: handler, ErrorLog: discardLog(), ReadHeaderTimeout: defaultHeaderTimeout}
	if configure != nil {
		configure(server)
	}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

const metricsPath = "/metrics"

func metricsHandler(m *metrics.Node) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, m.Handler())
	return mux
}

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultIdleTimeout   = 15 * time.Second
)

// configureFront sets the limits of callers' connections. They are constants
// because the server starts before a configuration is loaded. The adapter
// enforces the configuration's limit on request bodies.
func (n *Node) configureFront(server *http.Server) {
	server.MaxHeaderBytes = defaultHeaderBytes
	server.IdleTimeout = defaultIdleTimeout
	server.ConnContext = withConnection
}

// runCells ticks the cells that this node owns and claims cells that lack an
// owner, until ctx ends.
func (n *Node) runCells(ctx context.Context) {
	nextClaim, nextLinks, nextBalance := time.Duration(0), time.Duration(0), time.Duration(0)
	for {
		interval := claimInterval
		switch {
		case n.tickOwners():
			interval = tickInterval
		case n.front.hasDispatched(), n.stalledLately():
			interval = renewInterval
		}
		if now := n.Clock.Now(); now >= nextClaim {
			n.resizeCells()
			n.updateIsolation(now)
			n.updateMajority(now)
			n.updateKeptLeases(now)
			n.claimCells(now)
			n.refreshOwnClaims()
			n.updateShortOfCapacity()
			n.updateHub()
			n.updateReader()
			n.dropUnresponsiveFronts(now)
			nextClaim = now + n.nextClaimDelay()
		}
		if now := n.Clock.Now(); now >= nextBalance {
			n.balanceWaiting(now)
			nextBalance = now + balanceInterval
		}
		n.renewJobs(n.Clock.Now())
		n.announceOpenJobs(n.Clock.Now())
		n.announceOwnedJobs(n.Clock.Now())
		if now := n.Clock.Now(); now >= nextLinks {
			n.refreshLinks()
			n.expireSightings(now)
			nextLinks = now + linkRefreshInterval
		}
		if !common.Sleep(ctx, interval) {
			return
		}
	}
}

// nextClaimDelay returns how long to wait before the next search for cells without
// an owner. LinkDown starts a search at once when the link to an owner ends.
func (n *Node) nextClaimDelay() time.Duration {
	if n.isHub.Load() || len(n.allOwners()) > 0 {
		return claimInterval
	}
	return nonHubClaimInterval
}

func (n *Node) tickOwners() bool {
	busy := false
	for _, o := range n.allOwners() {
		busy = o.tick() || busy
	}
	return busy
}

func (n *Node) allOwners() []*owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	owners := make([]*owner, 0, len(n.owners))
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	return owners
}
