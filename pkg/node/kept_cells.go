package node

import (
	"slices"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// Successors implements keeping.Host.
func (h *keptHost) Successors(cell string) ([]string, bool) {
	if h.HasOwner(cell) || !h.CellRemoved(cell) {
		return nil, false
	}
	cells := h.node.executors.Load().cellsOf(ownership.DomainOf(cell))
	slices.Sort(cells)
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return cells, len(cells) > 0 && h.node.claims.AllOwned(cells)
}

// ChooseAmong implements keeping.Host.
func (h *keptHost) ChooseAmong(cells []string, j *job.Job, progress []job.Progress) (string, bool) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	var claims []ownership.Claim
	for _, claim := range h.node.openClaims() {
		if slices.Contains(cells, claim.Cell) {
			claims = append(claims, claim)
		}
	}
	claim, ok := h.node.chooseAmong(claims, j, progress)
	return claim.Cell, ok
}
