package ownership

import "time"

// Margins of sending a job to another cell than the caller's own.
const (
	hopCost    = 10 * time.Millisecond // of another domain
	staleShare = 0.5                   // of the own wait that must be gained
)

// Choose returns the claim to hand a job of a service to: one of the own domain
// unless another cell would start it much sooner; of equals the one with the
// most room.
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
			wait = hopCost + time.Duration(float64(wait)/staleShare)
		}
		better := wait < bestWait || (wait == bestWait && claim.Load.FreeCPU > best.Load.FreeCPU)
		if !found || better {
			best, bestWait, found = claim, wait, true
		}
	}
	return best, found
}

// expectedWait estimates how long the first task of a job will wait.
func expectedWait(load Load, needsCPU int64) time.Duration {
	if load.QueuedWork == 0 && load.FreeCPU >= needsCPU {
		return 0
	}
	if load.CapacityCPU == 0 {
		return time.Hour
	}
	return time.Duration(load.QueuedWork/load.CapacityCPU)*time.Millisecond + crowdedWait
}

// roomyShare is the part of a domain's room that has to be free for its jobs to
// be expected to stay there.
const roomyShare = 0.15

// IsShortOfCapacity reports whether jobs of a domain may soon have to go to others: work
// waits there, or little room is left.
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
	return float64(free) <= roomyShare*float64(capacity)
}

// crowdedWait is the least that a job waits where no room is left.
const crowdedWait = 20 * time.Millisecond
