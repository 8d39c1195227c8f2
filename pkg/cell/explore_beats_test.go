package cell

import (
	"slices"
	"time"
)

// Hosts send heartbeats to the owners of their own domain and to those that have jobs
// of theirs at every interval, and to other owners at every slowHeartbeatFactor-th.
const (
	heartbeatInterval   = 150 * ms
	slowHeartbeatFactor = 4
	// confirmInterval is the time between two calls of advanceConfirmed.
	confirmInterval = 50 * ms
)

// heartbeat is what a front repeatedly sends to an owner.
type heartbeat struct {
	link      *link
	renewedAt time.Duration // the newest timestamp of the owner at which the front's callers are confirmed to have waited; 0 for none
	ids       []string      // of the jobs and parts that the front waits for there
}

// sendHeartbeats has the hosts that are awake send their heartbeats and check their
// peers when these are due.
func (w *cluster) sendHeartbeats() {
	for _, h := range w.hosts {
		if !h.awake() {
			continue
		}
		if (w.now+h.phase)%confirmInterval == 0 || h.wokeNow() {
			h.advanceConfirmed()
		}
		if (w.now+h.phase)%heartbeatInterval == 0 || h.wokeNow() {
			h.sendOwnHeartbeats()
		}
		if (w.now+h.phase)%peerCheckInterval == 0 || h.wokeNow() {
			h.checkPeers()
		}
	}
}

// wokeNow reports whether a host wakes at this step, where it does what came due
// during its freeze.
func (h *host) wokeNow() bool { return h.frozen > 0 && h.frozen == h.cluster.now }

// advanceConfirmed advances the timestamps up to which a host confirms that its
// callers still wait. A timestamp is confirmed by the second call after its receipt,
// which leaves the host time to notice connections that its callers had closed by
// then. A call sooner than confirmInterval after the last one does nothing.
func (h *host) advanceConfirmed() {
	now := h.cluster.now
	if now < h.lastConfirm+confirmInterval {
		return
	}
	h.confirmedHere, h.lastConfirm = h.lastConfirm, now
	for _, l := range h.links {
		l.confirmed, l.previousOwnerTime = l.previousOwnerTime, l.ownerTime
	}
}

// sendOwnHeartbeats reports to the owners which jobs this front waits for there.
func (h *host) sendOwnHeartbeats() {
	w := h.cluster
	h.heartbeats++
	for _, o := range h.ownersDueHeartbeat() {
		ids := h.idsAt(o)
		if o.host == h {
			o.renew(ids, h.confirmedHere)
			continue
		}
		l := h.linkTo(o)
		b := heartbeat{link: l, renewedAt: l.confirmed, ids: ids}
		w.deliverTo(o.host, w.networkDelay(), func() { o.handleHeartbeat(b) })
	}
}

// ownersDueHeartbeat returns the owners that this front sends a heartbeat to now.
func (h *host) ownersDueHeartbeat() []*owner {
	var owners []*owner
	for _, a := range h.open {
		if a.owner != nil && !slices.Contains(owners, a.owner) {
			owners = append(owners, a.owner)
		}
	}
	for _, d := range h.cluster.domains {
		due := d == h.domain || h.heartbeats%slowHeartbeatFactor == 0
		if o := d.announced; due && o != nil && h.reachable(o) && !slices.Contains(owners, o) {
			owners = append(owners, o)
		}
	}
	return owners
}

// idsAt returns the ids of the jobs that this front waits for at an owner.
func (h *host) idsAt(o *owner) []string {
	var ids []string
	for _, a := range h.open {
		if a.owner == o {
			ids = append(ids, a.job.ID)
		}
	}
	return ids
}

// handleHeartbeat renews the jobs of a heartbeat and answers with the owner's time.
func (o *owner) handleHeartbeat(b heartbeat) {
	w := o.host.cluster
	if b.link.ownerClosed {
		return
	}
	o.host.lastReceived[b.link.front] = w.now
	o.renew(b.ids, b.renewedAt)
	ownerTime := w.now
	w.deliverTo(b.link.front, w.networkDelay(), func() {
		if b.link.frontClosed {
			return
		}
		b.link.ownerTime = max(b.link.ownerTime, ownerTime)
		b.link.front.lastReceived[o.host] = w.now
	})
}

// renew records that a front still waited for jobs at a timestamp of this owner.
func (o *owner) renew(ids []string, at time.Duration) {
	o.handle(func() { o.cell.Renew(ids, at, o.host.cluster.now) })
	for _, id := range ids {
		o.renewedAt[id] = max(o.renewedAt[id], at)
	}
}
