package cell

import (
	"fmt"
	"slices"
	"time"
)

const (
	peerCheckInterval = 100 * ms // between two checks for unresponsive peers
	freezeThreshold   = 400 * ms // between two events or checks of a process, above which it has been frozen
	pauseAfterFreeze  = 300 * ms // of starts, after a freeze
	maxWakeLag        = 10 * ms  // until a process that wakes handles its messages
)

// host is a process: a front, and the owner of the cells that it has claimed.
type host struct {
	modelProcess
	cluster       *cluster
	name          string
	domain        *domain
	frozenSince   time.Duration
	wakeLag       time.Duration // from its waking until it handles the messages that came during its freeze
	owners        []*owner
	submissions   []*submission // of callers that wait at this front
	open          []*attempt    // jobs and parts that this front waits for
	links         map[*owner]*link
	lastReceived  map[*host]time.Duration // by peer: when its last message was received
	lastPeerCheck time.Duration
	confirmedHere time.Duration // the host's own time up to which it confirms that callers of its own cells wait
	lastConfirm   time.Duration // the last advanceConfirmed
	phase         time.Duration // of its heartbeats and checks
	heartbeats    int           // sent so far
}

// link is the connection between a front and an owner on another host.
type link struct {
	front             *host
	owner             *owner
	frontClosed       bool          // the front has closed it or has learned that it is closed
	ownerClosed       bool          // the owner has learned that it is closed
	ownerTime         time.Duration // the newest timestamp of the owner that the front has received
	previousOwnerTime time.Duration // ownerTime as of the last advanceConfirmed
	confirmed         time.Duration // the owner's timestamp up to which the front confirms that its callers wait
}

func (w *cluster) addHost(d *domain) *host {
	h := &host{
		cluster: w, name: fmt.Sprintf("%s-%d", d.name, len(w.hosts)+1), domain: d,
		links: map[*owner]*link{}, lastReceived: map[*host]time.Duration{}, lastPeerCheck: w.now, phase: w.between(0, heartbeatInterval),
	}
	w.hosts = append(w.hosts, h)
	return h
}

func (h *host) awake() bool { return !h.dead && h.cluster.now >= h.frozen }

// networkDelay returns the time that a message between hosts takes.
func (w *cluster) networkDelay() time.Duration { return w.between(ms, 4*ms) }

// deliverTo delivers a message to a host. A frozen host handles its messages shortly
// after it wakes, in order unless frontMessages faults are on; a crashed one never
// does.
func (w *cluster) deliverTo(h *host, d time.Duration, do func()) {
	w.after(d, func() {
		switch {
		case h.dead:
		case !h.awake():
			lag := h.wakeLag
			if w.faults.frontMessages {
				lag = w.between(0, maxWakeLag)
			}
			w.deliverTo(h, h.frozen-w.now+lag, do)
		default:
			do()
		}
	})
}

// linkTo returns the open link to an owner, and opens one if there is none.
func (h *host) linkTo(o *owner) *link {
	l := h.links[o]
	if l == nil || l.frontClosed {
		l = &link{front: h, owner: o}
		h.links[o] = l
		h.lastReceived[o.host] = h.cluster.now
	}
	return l
}

// reachable reports whether a front may send to an owner.
func (h *host) reachable(o *owner) bool {
	l := h.links[o]
	return l == nil || !l.frontClosed || o.host.awake()
}

// reset closes a link. Each end learns of it after a network delay.
func (l *link) reset() {
	w := l.front.cluster
	w.deliverTo(l.owner.host, w.networkDelay(), func() { l.owner.linkEnded(l) })
	w.deliverTo(l.front, w.networkDelay(), func() { l.front.linkEnded(l) })
}

// linkEnded handles the end of a link at the front: the jobs that the owner at the
// other end has are to be handed over anew.
func (h *host) linkEnded(l *link) {
	if l.frontClosed {
		return
	}
	l.frontClosed = true
	for _, a := range slices.Clone(h.open) {
		if a.link == l {
			a.ownerLost()
		}
	}
}

// checkPeers abandons peers that have been unresponsive for too long. As in pkg/node,
// a process that was frozen restarts these timeouts first.
func (h *host) checkPeers() {
	now := h.cluster.now
	if now-h.lastPeerCheck > freezeThreshold {
		for peer := range h.lastReceived {
			h.lastReceived[peer] = now
		}
	}
	h.lastPeerCheck = now
	for _, o := range h.owners {
		o.dropUnresponsiveFronts()
	}
	for _, a := range slices.Clone(h.open) {
		if l := a.link; l != nil && !l.frontClosed && h.isUnresponsive(l.owner.host) {
			h.cluster.record(a.id(), "%s closes its link to unresponsive %s", h.name, l.owner.name())
			h.linkEnded(l)
			l.reset()
		}
	}
}

func (h *host) isUnresponsive(peer *host) bool {
	at, known := h.lastReceived[peer]
	return known && h.cluster.now > at+heartbeatTimeout
}

// crashHost ends a host, if there is one. Its callers' connections break at once. Its
// peers learn of the crash at once, unless its links stay up.
func (w *cluster) crashHost(h *host, linksStayUp bool) {
	if h == nil || h.dead {
		return
	}
	w.record("", "%s crashes, links stay up: %t", h.name, linksStayUp)
	h.dead = true
	if !linksStayUp {
		w.resetLinksOf(h)
	}
	for _, s := range h.submissions {
		s.disconnect()
	}
	if former := h.domain.newest(); former.host == h {
		w.after(w.between(100*ms, 900*ms), func() { w.claim(h.domain, former) })
	}
	w.after(hostRestart, func() { w.addHost(h.domain) })
}

// resetLinksOf closes all links of a crashed host.
func (w *cluster) resetLinksOf(h *host) {
	for _, d := range w.domains {
		for _, o := range d.owners {
			for _, front := range w.hosts {
				if l := front.links[o]; l != nil && (front == h || o.host == h) {
					l.reset()
				}
			}
		}
	}
}

// resetLinksTo closes the links of all fronts to an owner.
func (w *cluster) resetLinksTo(o *owner) {
	for _, front := range w.hosts {
		if l := front.links[o]; l != nil && !l.frontClosed {
			l.reset()
		}
	}
}

// freeze freezes a host. If it owns a cell and stays frozen for longer than
// heartbeatTimeout, another host claims the cell.
func (w *cluster) freeze(h *host, d time.Duration) {
	if !h.awake() {
		return
	}
	w.record("", "%s freezes for %s", h.name, d)
	h.frozen, h.frozenSince, h.wakeLag = w.now+d, w.now, w.between(0, maxWakeLag)
	former := h.domain.newest()
	if former.host != h {
		return
	}
	since := w.now
	w.after(heartbeatTimeout+w.between(0, peerCheckInterval), func() {
		if !h.awake() && h.frozenSince == since {
			w.claim(h.domain, former)
		}
	})
}
