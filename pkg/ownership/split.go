package ownership

// Share is the number of a job's tasks that are sent to a cell.
type Share struct {
	Cell  string
	Tasks int
}

// wideJobShare is the share of a cell's capacity above which a job counts as wide. That
// much is rarely free at once in a well-used cell.
const wideJobShare = 0.12

// minFreeMultiple is how many times a wide job's need has to be free in its cell for the
// job not to be split.
const minFreeMultiple = 2

// Split divides the tasks of a job among cells when there are too many of them to start in
// the chosen cell at once. Each task needs needsCPU thousandths of a core. The cells that
// have usable executors of the service get tasks in proportion to their capacity, and the
// chosen cell gets the remainder. It returns nil for a job that should not be split.
func Split(claims []Claim, chosen Claim, service string, tasks int, needsCPU int64) []Share {
	needs := int64(tasks) * needsCPU
	if float64(needs) <= wideJobShare*float64(chosen.Load.CapacityCPU) {
		return nil
	}
	if chosen.Load.QueuedWork == 0 && minFreeMultiple*needs <= chosen.Load.FreeCPU {
		return nil
	}
	var others []Claim
	total := chosen.Load.CapacityCPU
	for _, claim := range claims {
		if claim.Cell != chosen.Cell && claim.Load.Ready && claim.Load.Serves(service) {
			others = append(others, claim)
			total += claim.Load.CapacityCPU
		}
	}
	left := tasks
	var shares []Share
	for _, claim := range others {
		if count := int(int64(tasks) * claim.Load.CapacityCPU / max(total, 1)); count > 0 {
			shares = append(shares, Share{Cell: claim.Cell, Tasks: count})
			left -= count
		}
	}
	if len(shares) == 0 || left == 0 {
		return nil
	}
	return append([]Share{{Cell: chosen.Cell, Tasks: left}}, shares...)
}
