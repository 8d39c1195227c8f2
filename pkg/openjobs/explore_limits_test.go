package openjobs

import "time"

// Each domain confirms the announcement of a job. Until all have, its leases end by ConfirmBy, whoever
// renews them, and its front gives it up then.

const (
	confirmRetryInterval = 50 * ms
	stopTime             = 50 * ms // until executors have ended runs whose leases are over
	returnTime           = 2 * stopTime
)

func (o *modelOpen) limit() time.Duration { return ConfirmBy(o.sentAfter, resubmitAfter, stopTime) }

// isOver reports whether the leases of the job are over by their limit.
func (o *modelOpen) isOver(now time.Duration) bool {
	return !o.isConfirmed && !o.host.world.ignoresLimits && now >= o.limit()+stopTime
}

// mayStart reports whether the job may start by the limit of its leases.
func (o *modelOpen) mayStart() bool {
	return o.isConfirmed || o.host.world.ignoresLimits || o.host.world.now < o.limit()-returnTime
}

// confirmAnnouncement has each domain confirm the announcement of the job, unless it needn't.
func (o *modelOpen) confirmAnnouncement() {
	h := o.host
	o.announcedAt = h.world.now
	o.unconfirmedBy = map[string]bool{}
	for _, domain := range []string{"z0", "z1"} {
		o.unconfirmedBy[domain] = true
	}
	for _, domain := range []string{"z0", "z1"} {
		if h.confirmations.IsExempt(domain, o.sentAfter) {
			o.settle(domain)
		}
		o.pollConfirmation(domain)
	}
}

// settle records that a domain has confirmed the announcement, or need not.
func (o *modelOpen) settle(domain string) {
	delete(o.unconfirmedBy, domain)
	if len(o.unconfirmedBy) == 0 && !o.isConfirmed {
		o.isConfirmed, o.confirmedAt = true, o.host.world.now
		o.host.world.logf("host %d has its job confirmed", o.host.index)
	}
}

// pollConfirmation asks hosts of a domain until one answers, or until the limit.
func (o *modelOpen) pollConfirmation(domain string) {
	h, w := o.host, o.host.world
	if h.isStalled() {
		h.afterStall(func() { o.pollConfirmation(domain) })
		return
	}
	switch {
	case !o.isOpen():
		return
	case w.now >= o.limit():
		o.giveUpUnconfirmed(domain)
		return
	}
	for i, other := range w.hosts {
		if other.domain != domain || !h.reachesDirectly(i) {
			continue
		}
		w.after(w.between(2*ms, 80*ms), func() {
			switch {
			case o.isOpen() && h.reachesDirectly(i) && !h.isStalled(): // after a stall it has to be asked again
				h.confirmations.Confirmed(domain)
				o.settle(domain)
			default:
				o.pollConfirmation(domain)
			}
		})
		return
	}
	w.after(confirmRetryInterval, func() { o.pollConfirmation(domain) })
}

// reachesDirectly reports whether a message to another host gets there now, and its answer back.
func (h *modelHost) reachesDirectly(i int) bool {
	w := h.world
	return w.isUp(h.index, i) && !w.cut[pair(h.index, i)] && !w.hosts[i].dead && !w.hosts[i].isStalled()
}

func (o *modelOpen) giveUpUnconfirmed(domain string) {
	h, w := o.host, o.host.world
	since := h.confirmations.MissingSince(domain, w.now)
	if !h.stalls.LongEndedSince(o.announcedAt, w.now) {
		since = h.confirmations.Missing(domain, w.now)
	}
	if o.sentAfter >= since {
		o.settle(domain)
		return
	}
	w.logf("host %d gives the job up, as %s does not confirm it", h.index, domain)
	w.givenUp++
	o.end(false)
}

// askMissingDomains asks the domains that don't confirm whether they can be reached again.
func (h *modelHost) askMissingDomains() {
	for _, domain := range h.confirmations.DueAgain(h.world.now) {
		for i, other := range h.world.hosts {
			if other.domain == domain && h.reachesDirectly(i) {
				h.confirmations.Confirmed(domain)
			}
		}
	}
}
