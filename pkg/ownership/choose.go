package ownership

import "time"

// Handicaps of cells of other domains.
const (
	crossDomainDelay   = 10 * time.Millisecond // added to the wait there
	maxRemoteWaitShare = 0.5                   // the wait there has to be below this share of the own wait
)

// Choose returns the claim on the cell to send a job to: one of the own domain, unless a
// cell of another domain would start the job much sooner. Among equal waits it prefers the
// cell with the most free capacity. needsCPU is the need of one task, in thousandths of a
// core. It reports false when no cell has usable executors of the service.
func Choose(claims []Claim, ownDomain, service string, needsCPU int64) (Claim, bool) {
	var best Claim
	var bestWait time.Duration
	found := false
	for _, claim := range claims {
		if !claim.Load.Ready || !claim.Load.Serves(service) {
			continue
		}
		wait := expectedWait(claim.Load, needsCPU)
		if DomainOf(claim.Cell) != ownDomain {
			wait = crossDomainDelay + time.Duration(float64(wait)/maxRemoteWaitShare)
		}
		better := wait < bestWait || (wait == bestWait && claim.Load.FreeCPU > best.Load.FreeCPU)
		if !found || better {
			best, bestWait, found = claim, wait, true
		}
	}
	return best, found
}

// expectedWait estimates how long the first task of a job waits in a cell: the time that
// the cell's whole capacity takes for the queued work.
func expectedWait(load Load, needsCPU int64) time.Duration {
	if load.QueuedWork == 0 && load.FreeCPU >= needsCPU {
		return 0
	}
	if load.CapacityCPU == 0 {
		return time.Hour
	}
	return time.Duration(load.QueuedWork/load.CapacityCPU)*time.Millisecond + minQueueWait
}

// minFreeShare is the share of a domain's capacity that has to be free for its jobs to be
// expected to start there.
const minFreeShare = 0.15

// IsShortOfCapacity reports whether jobs of a domain may soon have to be sent to other
// domains: a cell has queued work or can't serve yet, or little capacity is free.
func IsShortOfCapacity(claims []Claim, domain string) bool {
	var free, capacity int64
	for _, claim := range claims {
		if DomainOf(claim.Cell) != domain {
			continue
		}
		if claim.Load.QueuedWork > 0 || !claim.Load.Ready {
			return true
		}
		free += claim.Load.FreeCPU
		capacity += claim.Load.CapacityCPU
	}
	return float64(free) <= minFreeShare*float64(capacity)
}

// minQueueWait is the shortest wait assumed in a cell without enough free capacity.
const minQueueWait = 20 * time.Millisecond
