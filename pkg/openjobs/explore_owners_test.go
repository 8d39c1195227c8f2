package openjobs

import (
	"slices"
	"time"
)

// A front renews its job while it exchanges messages with the owner of the job's cell, whatever
// links of other hosts to it are down: the owner may be its own host, or a host that still has
// its link.

// followed returns the execution that the front follows, or nil.
func (h *modelHost) followed() *execution {
	if h.dead || h.open == nil || h.open.execution == nil || h.open.execution.runsEndBy != 0 {
		return nil
	}
	return h.open.execution
}

// drawOwner draws the owner of the cell to which a front dispatches its job: its own host or a
// host of its domain that it reaches.
func (h *modelHost) drawOwner() *modelHost {
	w := h.world
	owners := []*modelHost{h}
	for i, other := range w.hosts {
		if other.domain == h.domain && w.isUp(h.index, i) && !w.cut[pair(h.index, i)] && !other.dead {
			owners = append(owners, other)
		}
	}
	return owners[w.random.IntN(len(owners))]
}

// isAlive reports whether runs of the execution may be alive.
func (e *execution) isAlive(now time.Duration) bool {
	switch {
	case e.open.isOver(now):
		return false
	case e.stoppedBy > 0:
		return now < e.stoppedBy
	case e.runsEndBy > 0:
		return now < e.runsEndBy
	case e.separatedSince > 0:
		return now < max(e.startedAt, e.separatedSince)+unrenewedRunTTL
	}
	return true
}

// renewedAt returns when the front last renewed the leases of the execution.
func (e *execution) renewedAt() time.Duration {
	if e.separatedSince > 0 {
		return e.separatedSince
	}
	return e.open.host.world.now
}

// updateSeparation updates whether a cut separates the front from the owner of its job.
func (h *modelHost) updateSeparation() {
	w, c := h.world, h.followed()
	if c == nil || c.owner == h {
		return
	}
	switch isCut := w.cut[pair(h.index, c.owner.index)]; {
	case isCut && c.separatedSince == 0:
		c.separatedSince = w.now
	case !isCut && !c.owner.dead:
		c.separatedSince = 0
	}
}

// handleRejoined handles that the front is no longer cut off from its domain.
func (h *modelHost) handleRejoined() {
	w := h.world
	if h.open == nil || h.open.execution == nil {
		return
	}
	switch c := h.open.execution; {
	case c.isTakenOver:
		h.open.resume()
	case c.runsEndBy > 0 || c.owner == h || c.separatedSince == 0:
	case w.now > c.separatedSince+heartbeatTimeout:
		c.end(c.separatedSince, true)
		h.open.resume()
	case c.owner.dead:
		c.owner, c.separatedSince = h.drawOwner(), 0
	}
}

// scheduleTakeover has another host take over the cell of a front that is itself the owner of its
// job's cell and is cut off from its domain, some time after the others have lost it, or never.
// Executors then stop the runs.
func (h *modelHost) scheduleTakeover() {
	w, c, since := h.world, h.followed(), h.isolatedSince
	if c == nil || c.owner != h {
		return
	}
	w.renewing[isolatedOwner]++
	if w.random.IntN(4) == 0 {
		return
	}
	w.after(heartbeatTimeout+w.between(300*ms, 3*time.Second), func() {
		isTaker := func(other *modelHost) bool { return other != h && other.domain == h.domain && !other.dead }
		if h.followed() != c || h.isolatedSince != since || !slices.ContainsFunc(w.hosts, isTaker) {
			return
		}
		w.logf("the cell of host %d is taken over, and its runs are stopped", h.index)
		c.isTakenOver = true
		c.end(w.now, false)
	})
}

// handleOwnerLost handles that the front has lost its link to the owner of its job. If the owner
// is dead or cut off from its domain, the next owner of its cell continues the job. Otherwise
// the front starts it anew, unless it has been resubmitted elsewhere.
func (h *modelHost) handleOwnerLost(lost *modelHost) {
	w, c := h.world, h.followed()
	switch {
	case c == nil || c.owner != lost || h.isolatedSince > 0:
	case lost.dead || lost.isolatedSince > 0:
		c.owner, c.separatedSince = h.drawOwner(), 0
	default:
		w.logf("host %d loses host %d, the owner of its job", h.index, lost.index)
		c.end(lost.lastActive(c.renewedAt()), true)
		open := c.open
		w.after(redispatchDelay, func() {
			if open.isOpen() {
				open.search = NewSearch(jobID, 0)
				open.round()
			}
		})
	}
}

// drawFront draws a host, and often one that follows the job.
func (w *world) drawFront() *modelHost {
	if w.random.IntN(2) == 0 {
		for _, h := range w.hosts {
			if h.followed() != nil {
				return h
			}
		}
	}
	return w.hosts[w.random.IntN(len(w.hosts))]
}

// keptLink returns a host to which a front keeps its link during a fault: the owner of its job,
// or any host of its domain.
func (w *world) keptLink(h *modelHost) *modelHost {
	if c := h.followed(); c != nil && c.owner != h {
		return c.owner
	}
	return w.hosts[h.index/3*3+(h.index+1+w.random.IntN(2))%3]
}

// slowDown has hosts lose their links to a slow host, each by itself. Its own links to them stay
// up, and so do the renewals of its job.
func (w *world) slowDown(slow *modelHost) {
	var losing []int
	areAllLosing := w.random.IntN(2) == 0
	for i := range w.hosts {
		if linked(i, slow.index) && (areAllLosing || w.random.IntN(3) > 0) {
			losing = append(losing, i)
		}
	}
	w.logf("host %d is slow, and hosts %v lose it", slow.index, losing)
	if slow.followed() != nil && len(losing) > 0 {
		w.renewing[slowFront]++
	}
	duration := w.between(600*ms, 4*time.Second)
	for _, i := range losing {
		link := [2]int{i, slow.index}
		w.slow[link]++
		w.after(w.between(0, 300*ms), func() { w.loseLink(i, slow.index) })
		w.after(duration, func() {
			w.slow[link]--
			w.after(w.between(10*ms, 300*ms), func() { w.connectLink(i, slow.index) })
		})
	}
}

// loseLink takes down a host's link to another, which keeps its own link.
func (w *world) loseLink(a, b int) {
	if w.down[[2]int{a, b}] || w.hosts[a].dead {
		return
	}
	w.down[[2]int{a, b}] = true
	w.hosts[a].handleOwnerLost(w.hosts[b])
}

// connectLink connects a host's link to another.
func (w *world) connectLink(a, b int) {
	if link := [2]int{a, b}; w.canConnect(a, b) && w.down[link] {
		w.down[link] = false
		w.hosts[a].linkUp(w.hosts[b])
	}
}

// canConnect reports whether a host can connect its link to another.
func (w *world) canConnect(a, b int) bool {
	return !w.cut[pair(a, b)] && w.slow[[2]int{a, b}] == 0 && !w.hosts[a].dead && !w.hosts[b].dead
}

// cutExceptOwner returns pairs that cut a host off from some or all of the others except one host of
// its domain, which is the owner of its job if it has one.
func (w *world) cutExceptOwner(h *modelHost) [][2]int {
	kept, isWide := w.keptLink(h), w.random.IntN(2) == 0
	var pairs [][2]int
	for i := range w.hosts {
		if linked(h.index, i) && i != kept.index && (isWide || w.random.IntN(2) == 0) {
			pairs = append(pairs, [2]int{h.index, i})
		}
	}
	if h.followed() != nil && len(pairs) > 0 {
		w.renewing[partialCut]++
	}
	return pairs
}

// hostsWithLink returns the hosts whose links to a host are up.
func (w *world) hostsWithLink(h *modelHost) []int {
	var indexes []int
	for i := range w.hosts {
		if w.isUp(i, h.index) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Situations of fronts that go on renewing while other hosts have lost their links to them.
const (
	isolatedOwner = "isolated owner"
	slowFront     = "slow front"
	partialCut    = "partial cut"
)

// situation names why a front whose job was started beside it could renew.
func (e *execution) situation() string {
	h := e.open.host
	switch {
	case e.endedAt > 0 && !e.open.isAnnounced:
		return "given up before it was announced, and the front has answered that no run is alive"
	case e.runsEndBy > 0 || e.separatedSince > 0 || h.dead:
		return "its last renewal is less than unrenewedRunTTL ago"
	case e.owner == h && h.isolatedSince > 0:
		return isolatedOwner
	case slices.ContainsFunc(h.world.hosts, func(other *modelHost) bool { return h.world.slow[[2]int{other.index, h.index}] > 0 }):
		return slowFront
	case slices.ContainsFunc(h.world.hosts, func(other *modelHost) bool { return h.world.cut[pair(h.index, other.index)] }):
		return partialCut
	}
	return "reconnecting"
}

// wasToldNotOpen reports whether the front of an execution has answered that it doesn't hold the
// job open, after it had ended there.
func (o *modelOpen) wasToldNotOpen(c *execution) bool {
	at, isTold := o.notOpenAt[hostProcess{c.open.host.index, c.open.process}]
	return isTold && c.endedAt > 0 && at >= c.endedAt
}

// Reasons why a host doesn't know of an execution.
const (
	givenUpUnannounced = "given up before it was announced"
	notAnnouncedYet    = "not announced yet"
)

// missingAnnouncement names why a host doesn't know of an execution.
func (e *execution) missingAnnouncement(host *modelHost) string {
	expiresAt, hasHeard := host.heard[hostProcess{e.open.host.index, e.open.process}]
	switch {
	case e.endedAt > 0 && !e.open.isAnnounced:
		return givenUpUnannounced
	case hasHeard && expiresAt <= host.world.now:
		return "announcement of an earlier submission there expired"
	case hasHeard:
		return "earlier submission there had ended"
	case !e.open.isAnnounced:
		return notAnnouncedYet
	}
	return "announcement lost"
}
