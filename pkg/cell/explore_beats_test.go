package cell

import (
	"slices"
	"time"
)

// Hosts beat to the owners of their own domain and to those that have jobs of
// theirs, and some times slower to the others.
const (
	beatInterval = 150 * ms
	slowerBeats  = 4
	// sureInterval is how often a host looks up to which times it vouches for its
	// callers: those that it had heard at the look before the last one.
	sureInterval = 50 * ms
)

// beat is what a front tells an owner again and again.
type beat struct {
	link *link
	echo time.Duration // the newest time of the owner up to which the front vouches; 0 for none
	ids  []string      // of the jobs and parts that the front waits for there
}

// beat has hosts beat and look for silent peers when it is time.
func (w *cluster) beat() {
	for _, h := range w.hosts {
		if !h.awake() {
			continue
		}
		if (w.now+h.phase)%sureInterval == 0 || h.wokeNow() {
			h.growSure()
		}
		if (w.now+h.phase)%beatInterval == 0 || h.wokeNow() {
			h.beatToOwners()
		}
		if (w.now+h.phase)%lookInterval == 0 || h.wokeNow() {
			h.look()
		}
	}
}

// wokeNow reports whether a host stood still until now: what was due meanwhile is
// done first.
func (h *host) wokeNow() bool { return h.frozen > 0 && h.frozen == h.cluster.now }

// growSure moves the times on up to which a host vouches for its callers. Two looks
// with less between them than a process needs to notice what has come are one.
func (h *host) growSure() {
	now := h.cluster.now
	if now < h.sureLook+sureInterval {
		return
	}
	h.sureHere, h.sureLook = h.sureLook, now
	for _, l := range h.links {
		l.sure, l.aging = l.aging, l.told
	}
}

// beatToOwners tells owners what this front waits for there.
func (h *host) beatToOwners() {
	w := h.cluster
	h.beats++
	for _, o := range h.ownersToTell() {
		ids := h.idsWith(o)
		if o.host == h {
			o.renew(ids, h.sureHere)
			continue
		}
		l := h.linkTo(o)
		b := beat{link: l, echo: l.sure, ids: ids}
		w.to(o.host, w.travel(), func() { o.beatArrived(b) })
	}
}

// ownersToTell returns the owners that this front beats to now.
func (h *host) ownersToTell() []*owner {
	var owners []*owner
	for _, a := range h.open {
		if a.owner != nil && !slices.Contains(owners, a.owner) {
			owners = append(owners, a.owner)
		}
	}
	for _, d := range h.cluster.domains {
		due := d == h.domain || h.beats%slowerBeats == 0
		if o := d.known; due && o != nil && h.reachable(o) && !slices.Contains(owners, o) {
			owners = append(owners, o)
		}
	}
	return owners
}

// idsWith returns what this front waits for at an owner.
func (h *host) idsWith(o *owner) []string {
	var ids []string
	for _, a := range h.open {
		if a.owner == o {
			ids = append(ids, a.job.ID)
		}
	}
	return ids
}

// beatArrived takes a beat, and answers it with the owner's time.
func (o *owner) beatArrived(b beat) {
	w := o.host.cluster
	if b.link.ownerOver {
		return
	}
	o.host.heard[b.link.front] = w.now
	o.renew(b.ids, b.echo)
	told := w.now
	w.to(b.link.front, w.travel(), func() {
		if b.link.frontOver {
			return
		}
		b.link.told = max(b.link.told, told)
		b.link.front.heard[o.host] = w.now
	})
}

// renew takes that a front waited still for jobs at a time of this owner.
func (o *owner) renew(ids []string, at time.Duration) {
	o.handle(func() { o.cell.Renew(ids, at, o.host.cluster.now) })
	for _, id := range ids {
		o.waited[id] = max(o.waited[id], at)
	}
}
