package cell

import (
	"fmt"
	"slices"
	"time"
)

const (
	lookInterval    = 100 * ms // of looking for silent peers
	hostStoodStill  = 400 * ms // between two looks, after which a process has stood still
	pauseAfterStand = 300 * ms // of starts, after it
	longestLag      = 10 * ms  // until a process that wakes takes messages up
)

// host is a process: a front, and the owner of a cell that it has claimed.
type host struct {
	modelProcess
	cluster     *cluster
	name        string
	domain      *domain
	frozenSince time.Duration
	wakeLag     time.Duration // until it takes up what has come while it stood still
	owners      []*owner
	sendings    []*sending // of callers that wait at this front
	open        []*attempt // what this front waits for
	links       map[*owner]*link
	heard       map[*host]time.Duration // when peers were last heard
	lastLook    time.Duration
	sureHere    time.Duration // up to which it vouches for its callers at its own cells
	sureLook    time.Duration // the last look at that
	phase       time.Duration // of its beats and looks
	beats       int           // that it has made
}

// link is the way between a front and an owner on another host.
type link struct {
	front     *host
	owner     *owner
	frontOver bool          // the front has given it up, or has learnt of its end
	ownerOver bool          // the owner has learnt of its end
	told      time.Duration // the newest time of the owner that the front has heard
	aging     time.Duration // the same at the last look
	sure      time.Duration // up to which the front vouches for its callers
}

func (w *cluster) addHost(d *domain) *host {
	h := &host{
		cluster: w, name: fmt.Sprintf("%s-%d", d.name, len(w.hosts)+1), domain: d,
		links: map[*owner]*link{}, heard: map[*host]time.Duration{}, lastLook: w.now, phase: w.between(0, beatInterval),
	}
	w.hosts = append(w.hosts, h)
	return h
}

func (h *host) awake() bool { return !h.dead && h.cluster.now >= h.frozen }

// travel is the time of a message between hosts.
func (w *cluster) travel() time.Duration { return w.between(ms, 4*ms) }

// to hands a message to a host. One that stands still takes all up a moment after
// it wakes, in order unless words stray; one that is dead never does.
func (w *cluster) to(h *host, d time.Duration, do func()) {
	w.after(d, func() {
		switch {
		case h.dead:
		case !h.awake():
			lag := h.wakeLag
			if w.faults.words {
				lag = w.between(0, longestLag)
			}
			w.to(h, h.frozen-w.now+lag, do)
		default:
			do()
		}
	})
}

// linkTo returns the link to an owner, a new one when the last one is over.
func (h *host) linkTo(o *owner) *link {
	l := h.links[o]
	if l == nil || l.frontOver {
		l = &link{front: h, owner: o}
		h.links[o] = l
		h.heard[o.host] = h.cluster.now
	}
	return l
}

// reachable reports whether a front may send to an owner.
func (h *host) reachable(o *owner) bool {
	l := h.links[o]
	return l == nil || !l.frontOver || o.host.awake()
}

// reset ends a link. Its ends learn of it when the news arrives.
func (l *link) reset() {
	w := l.front.cluster
	w.to(l.owner.host, w.travel(), func() { l.owner.linkEnded(l) })
	w.to(l.front, w.travel(), func() { l.front.linkEnded(l) })
}

// linkEnded takes the jobs back that are with the owner at the other end.
func (h *host) linkEnded(l *link) {
	if l.frontOver {
		return
	}
	l.frontOver = true
	for _, a := range slices.Clone(h.open) {
		if a.link == l {
			a.lost()
		}
	}
}

// look finds the peers that have been silent for too long. As in pkg/node, a
// process that has stood still hears them anew first.
func (h *host) look() {
	now := h.cluster.now
	if now-h.lastLook > hostStoodStill {
		for peer := range h.heard {
			h.heard[peer] = now
		}
	}
	h.lastLook = now
	for _, o := range h.owners {
		o.dropSilentFronts()
	}
	for _, a := range slices.Clone(h.open) {
		if l := a.link; l != nil && !l.frontOver && h.takesForSilent(l.owner.host) {
			h.cluster.note(a.id(), "%s gives %s up as silent", h.name, l.owner.name())
			h.linkEnded(l)
			l.reset()
		}
	}
}

func (h *host) takesForSilent(peer *host) bool {
	at, known := h.heard[peer]
	return known && h.cluster.now > at+frontSuspects
}

// die ends a host. Peers learn of it at once, unless its machine has gone with it.
// Callers learn of it at once. There may be no host left to die.
func (w *cluster) die(h *host, silently bool) {
	if h == nil || h.dead {
		return
	}
	w.note("", "%s dies, silently %t", h.name, silently)
	h.dead = true
	if !silently {
		w.resetLinksOf(h)
	}
	for _, s := range h.sendings {
		s.breakOff()
	}
	if former := h.domain.newest(); former.host == h {
		w.after(w.between(100*ms, 900*ms), func() { w.claim(h.domain, former) })
	}
	w.after(hostRestart, func() { w.addHost(h.domain) })
}

// resetLinksOf has all that hold links to a dead host learn of its end.
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

// freeze has a host stand still. When that lasts, another one claims its cell.
func (w *cluster) freeze(h *host, d time.Duration) {
	if !h.awake() {
		return
	}
	w.note("", "%s stands still for %s", h.name, d)
	h.frozen, h.frozenSince, h.wakeLag = w.now+d, w.now, w.between(0, longestLag)
	former := h.domain.newest()
	if former.host != h {
		return
	}
	since := w.now
	w.after(frontSuspects+w.between(0, lookInterval), func() {
		if !h.awake() && h.frozenSince == since {
			w.claim(h.domain, former)
		}
	})
}
