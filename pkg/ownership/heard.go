package ownership

import (
	"maps"
	"slices"
	"time"
)

// A host that is cut from the owner of a cell, while other hosts of the domain hear that owner, must not take
// the cell over. So it asks them before it claims (Limits.Answers). Only what a host has heard by a link of its own
// counts, never what others have reported to it: otherwise two hosts could keep a dead owner alive.

// HeardOwner is what another host of the domain tells of a cell: its owner, if the other host hears it.
type HeardOwner struct {
	Cell  string
	Owner string        // its peer address; empty if the other host hears none
	At    time.Duration // when the other host heard it last
}

// answer is what another host has told last of a cell.
type answer struct {
	HeardOwner
	toldAt time.Duration // when it arrived
}

// SetHeard records what another host of the domain has told at now.
func (t *Table) SetHeard(host string, heard []HeardOwner, now time.Duration) {
	if t.answers[host] == nil {
		t.answers[host] = map[string]answer{}
	}
	for _, h := range heard {
		t.answers[host][h.Cell] = answer{HeardOwner: h, toldAt: now}
	}
}

// Lose removes the claims of a host, as Forget does, whose link went down at now.
func (t *Table) Lose(owner string, now time.Duration) {
	for cell, claim := range t.claimsInEffect().owners {
		if claim.Owner == owner {
			t.state(cell).ownerLostAt = now
		}
	}
	t.Forget(owner)
	delete(t.answers, owner)
}

// HeardOwnerOf returns the owner of a cell that this host doesn't reach, and others do.
func (t *Table) HeardOwnerOf(cell string, now time.Duration) (HeardOwner, bool) {
	var newest HeardOwner
	for _, answers := range t.answers {
		if heard := answers[cell].HeardOwner; t.counts(heard, now) && (newest.Owner == "" || heard.At > newest.At) {
			newest = heard
		}
	}
	return newest, newest.Owner != ""
}

// counts reports whether another host has heard an owner that is probably alive. If it has died, its last
// sign of life can have reached the other host at most a heartbeat later than this one, which has lost it
// after SuspectAfter.
func (t *Table) counts(heard HeardOwner, now time.Duration) bool {
	if heard.Owner == "" || t.reported[heard.Owner] || now > heard.At+t.limits.SuspectAfter {
		return false
	}
	state := t.cells[heard.Cell]
	return state == nil || state.ownerLostAt == 0 || heard.At > state.ownerLostAt-t.limits.SuspectAfter+t.limits.Heartbeat
}

// isOverruled reports whether the owner of a cell that some hosts hear has been out of reach of most of those
// that have told for Limits.Denied. It is cut off rather than this host then, and jobs don't reach it.
func (t *Table) isOverruled(cell string, isHeard bool, now time.Duration) bool {
	hears, denies := 0, 0
	for _, answers := range t.answers {
		if told, hasTold := answers[cell]; hasTold && told.Owner != "" {
			hears++
		} else if hasTold {
			denies++
		}
	}
	state := t.state(cell)
	switch {
	case !isHeard || denies <= hears:
		state.deniedSince = 0
	case state.deniedSince == 0:
		state.deniedSince = now
	}
	return state.deniedSince > 0 && now >= state.deniedSince+t.limits.Denied
}

// HeardOwners returns the addresses of the owners that this host doesn't reach, and others do, sorted.
func (t *Table) HeardOwners(now time.Duration) []string {
	return slices.Sorted(maps.Keys(t.cellsHeard(now)))
}

// cellsHeard returns the cells that hosts own which this host doesn't reach, and others do, by owner.
func (t *Table) cellsHeard(now time.Duration) map[string]map[string]bool {
	cells := map[string]map[string]bool{}
	for _, answers := range t.answers {
		for _, heard := range answers {
			if !t.counts(heard.HeardOwner, now) {
				continue
			}
			if cells[heard.Owner] == nil {
				cells[heard.Owner] = map[string]bool{}
			}
			cells[heard.Owner][heard.Cell] = true
		}
	}
	return cells
}

// maxWitnesses is how many hosts are asked frequently about the owner of a cell.
const maxWitnesses = 2

// Witnesses returns the hosts on whose answers this host relies, if all of the cells have owners that others
// hear, and nil otherwise.
func (t *Table) Witnesses(cells []string, now time.Duration) map[string]bool {
	if len(cells) == 0 || len(t.answers) == 0 {
		return nil
	}
	all := map[string]bool{}
	for _, cell := range cells {
		var witnesses []string
		for address, answers := range t.answers {
			if t.counts(answers[cell].HeardOwner, now) {
				witnesses = append(witnesses, address)
			}
		}
		if len(witnesses) == 0 {
			return nil
		}
		slices.Sort(witnesses)
		for _, address := range witnesses[:min(maxWitnesses, len(witnesses))] {
			all[address] = true
		}
	}
	return all
}

// enoughAnswers is how many hosts have to tell that they don't hear an owner either.
const enoughAnswers = 3

// awaitsAnswers reports whether a host that has lost a cell's owner, or has never reached one, should wait for
// what others hear. It doesn't wait for all of them, as slow ones would delay each takeover.
func (t *Table) awaitsAnswers(cell string, view View, domainHosts []Host, now time.Duration) bool {
	state := t.state(cell)
	lostAt := state.ownerLostAt
	if lostAt == 0 && !allReported(view) {
		lostAt = state.ownerlessSince
	}
	if lostAt == 0 || now >= lostAt+t.limits.Answers {
		return false
	}
	asked, answered := 0, 0
	for _, host := range domainHosts {
		if !host.TellsOwners {
			continue
		}
		asked++
		if told, isAnswered := t.answers[host.Address][cell]; isAnswered && told.toldAt >= lostAt {
			answered++
		}
	}
	return answered < min(asked, enoughAnswers)
}
