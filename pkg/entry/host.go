// Package entry implements an entry host: it accepts callers' jobs, records them at a
// backup so that each starts at most once, and runs their tasks on targets. The
// decisions are made in pkg/once, pkg/schedule (with pkg/admit, pkg/route and
// pkg/retry) and pkg/member; this package carries them out.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/confstore"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/target"
	"github.com/pkg/errors"
)

// targetConnections bounds the connections of a host to one target. An executor accepts
// 64, and nine hosts may use it.
const targetConnections = 7

// otherReaders is the factor by which the other hosts poll the platform for a newer
// configuration less often than the domain's reader.
const otherReaders = 3

// Host is an entry host.
type Host struct {
	*common.Common
	settings *settings.Entry
	inc      once.Incarnation
	platform platform.Platform
	store    *confstore.Store
	counters *peer.Counters
	metrics  *metrics.Metrics
	targets  *target.Client
	memory   *memory
	members  *members
	conf     *conf
	keys     *keys

	leaving  atomic.Bool // reported by the health check
	closing  atomic.Bool // new submissions are refused
	fetching atomic.Bool // a configuration is being fetched from a peer

	poolsMu sync.Mutex // serializes changes of pools
	pools   atomic.Pointer[map[string]*dispatcher]

	callers    *http.Server
	callerSide net.Listener
	peerSide   *peer.Server
	stopLoops  context.CancelFunc
}

// NewHost makes an entry host. Start runs it.
func NewHost(c *common.Common, s *settings.Entry, inc once.Incarnation, p platform.Platform) (*Host, error) {
	c = c.With("host", s.Name)
	h := &Host{
		Common:   c,
		settings: s,
		inc:      inc,
		platform: p,
		store:    confstore.New(p),
		counters: &peer.Counters{},
		targets:  target.NewClient(inc.String(), targetConnections),
		memory:   newMemory(inc, s.Domain, s.Once),
		keys:     newKeys(c, p, s.KeyRetention),
	}
	h.pools.Store(&map[string]*dispatcher{})
	h.conf = newConf(c, func(*activeConfig) { h.reconfigure() })
	h.members = newMembers(c, s, inc, h.counters, h)
	instruments, err := metrics.New(h.counters, h.gauges)
	if err != nil {
		return nil, err
	}
	h.metrics = instruments
	return h, nil
}

// Start listens and begins to serve.
func (h *Host) Start() error {
	peerListener, err := net.Listen("tcp", h.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	h.callerSide, err = net.Listen("tcp", h.settings.CallerAddress)
	if err != nil {
		_ = peerListener.Close()
		return errors.Wrap(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stopLoops = cancel
	h.peerSide = peer.NewServer(h.Common, peerListener, h, h.members, h.counters)
	h.callers = &http.Server{Handler: h.newFront(), ErrorLog: quietLog()}
	h.members.refresh()
	go h.peerSide.Serve()
	go func() { _ = h.callers.Serve(h.callerSide) }()
	go h.keys.run(ctx)
	go every(ctx, h.settings.ConfigPoll, h.pollConfig())
	go every(ctx, h.settings.ListPoll, func() error { return h.pollHosts(ctx) })
	h.Log.Info("started", "incarnation", h.inc.String(), "callers", h.settings.CallerAddress, "peers", h.settings.PeerAddress)
	return nil
}

// pollConfig returns the function that polls the platform for a newer configuration.
// The domain's reader polls each time, the other hosts less often, in case the reader
// is unreachable.
func (h *Host) pollConfig() func() error {
	turn := 0
	return func() error {
		turn++
		if !h.members.view().IsReader && h.conf.get() != nil && turn%otherReaders != 0 {
			return nil
		}
		err := h.conf.poll(context.Background(), h.store)
		if err != nil {
			h.Log.Warn("config_poll_failed", "error", err.Error())
		}
		return err
	}
}

// pollHosts reads the platform's list of hosts.
func (h *Host) pollHosts(ctx context.Context) error {
	defer h.members.refresh()
	hosts, err := h.platform.Hosts(ctx)
	if err != nil {
		h.Log.Warn("host_list_failed", "error", err.Error())
		return err
	}
	var listed []member.ListedHost
	leaving := map[string]bool{}
	for _, host := range hosts {
		if host.PeerAddress != "" {
			listed = append(listed, member.ListedHost{Name: host.Name, Domain: host.Domain, Address: host.PeerAddress, Leaving: host.Leaving})
		}
		if host.Executor != "" {
			leaving[host.Executor] = host.Leaving
		}
	}
	h.members.setListed(listed)
	h.eachDispatcher(func(d *dispatcher) { d.setLeaving(leaving) })
	return nil
}

func (h *Host) gauges() metrics.Gauges {
	load := h.totals()
	return metrics.Gauges{
		Waiting:  int64(load.Waiting),
		Busy:     int64(load.Busy),
		Free:     int64(load.Free),
		Suspects: int64(len(load.Suspects)),
		IDs:      int64(h.memory.ids()),
		Peers:    int64(len(h.members.view().Peers)),
		Version:  int64(h.conf.version()),
	}
}
