package ownership

import "time"

const (
	// cellCountDelay is how long a change of a domain's number of cells has to be due before it is
	// made. It fences each owner in the domain, and jobs move between cells. Executors that are
	// being replaced are listed beside their replacements for a shorter time.
	cellCountDelay = 8 * time.Second
	// urgentCellFill is the number of executors, as a multiple of what the owners of the cells can
	// serve, above which the number of cells changes at once. A list that holds each executor and
	// its replacement stays below it.
	urgentCellFill = 2 * maxCellFill
	// unclaimedCountRetention is how long the number of cells stays the same while no owner of any
	// of them is reachable, so that their next owners claim the same cells. It is longer than
	// Limits.OtherDomain. After it, all hosts decide by the number of executors alone: a host
	// that has never seen the claims might otherwise wait for the others forever, and they for it.
	unclaimedCountRetention = 4 * time.Second
)

// CellCounts decides when the numbers of cells of the domains change. Hosts may decide differently
// for a short time, as they learn of executors and claims at different times. All of them follow
// the newest claim, whoever made it. It is not safe for concurrent use.
type CellCounts struct {
	domains map[string]*domainCells
}

// domainCells is what is known of a domain's number of cells.
type domainCells struct {
	inUse     int           // by the newest claim seen, whose owner may have become unreachable
	claimedAt time.Duration // when a claim was seen last
	isDue     bool
	dueSince  time.Duration // since when another number has been due without interruption, if isDue
}

// NewCellCounts returns counts for a host that has seen no claims.
func NewCellCounts() *CellCounts { return &CellCounts{domains: map[string]*domainCells{}} }

// InUse returns the number of cells of a domain according to the newest claim seen within
// unclaimedCountRetention, or 0 if there was none. claimed is the number by the present claims, 0
// without any.
func (c *CellCounts) InUse(domain string, claimed int, now time.Duration) int {
	state := c.domains[domain]
	switch {
	case claimed > 0 && state == nil:
		c.domains[domain] = &domainCells{inUse: claimed, claimedAt: now}
		return claimed
	case state == nil:
		return 0
	case claimed > 0:
		state.claimedAt = now
		if claimed != state.inUse {
			state.inUse, state.isDue = claimed, false
		}
	case now > state.claimedAt+unclaimedCountRetention:
		delete(c.domains, domain)
		return 0
	}
	return state.inUse
}

// Update returns the number of cells that a domain should have at now, given its number of
// executors, the number that the strongest host can serve, and the number of cells by the present
// claims. Once a change has been due for cellCountDelay, it returns the new number until other
// claims are seen.
func (c *CellCounts) Update(domain string, executors, cellSize, claimed int, now time.Duration) int {
	inUse := c.InUse(domain, claimed, now)
	wanted := StableCellCount(executors, cellSize, inUse)
	if inUse == 0 {
		return wanted
	}
	state := c.domains[domain]
	if wanted == inUse {
		state.isDue = false
		return inUse
	}
	if !state.isDue {
		state.isDue, state.dueSince = true, now
	}
	isUrgent := float64(executors) > urgentCellFill*float64(inUse*cellSize)
	if isUrgent || now >= state.dueSince+cellCountDelay {
		return wanted
	}
	return inUse
}

// RetainOnly forgets the domains for which listed does not have an entry.
func (c *CellCounts) RetainOnly(listed map[string]int) {
	for domain := range c.domains {
		if _, ok := listed[domain]; !ok {
			delete(c.domains, domain)
		}
	}
}
