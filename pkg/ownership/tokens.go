package ownership

import "time"

// A token is a time of day in ticks, and below it bits of its maker's own, so
// that no two hosts make the same one. Tokens made after a restart of
// everything thus lie above those from before it, without a word from anybody.
// All 53 bits are exact in a JSON number of any reader.
const (
	ownBits        = 18
	ticksPerSecond = 16
)

// longestJump bounds, in doublings of a tick, how far a token jumps ahead after
// a fence: 4 s, more than clocks differ.
const longestJump = 6

// quickRetries is how many times in a row a host tries again soon after a
// fence, when no living host can have caused it.
const quickRetries = 8

// restartTime is how long after its own start a host takes a fence for the work
// of one that has died with it. Later it may be one that has just started and
// isn't known yet.
const restartTime = 5 * time.Second

// longestFencedRun bounds the waits after fences in a row.
const longestFencedRun = 4

// ticks returns a time of day in ticks.
func ticks(now time.Time) int64 {
	return now.UnixMilli() * ticksPerSecond / time.Second.Milliseconds()
}

// NextToken returns a token above all that are known, and above those made
// before a restart of everything. now is the time of day.
func (t *Table) NextToken(now time.Time, own uint32) int64 {
	counter := max(t.highest>>ownBits+1, ticks(now))
	token := counter<<ownBits | int64(own&(1<<ownBits-1))
	t.highest = token
	return token
}

// Fenced takes the news that an executor refused our token. The one that
// fenced us is unknown; the next has to be above it, so tokens jump, at first a
// little: far jumps would put them ahead of the clock, and a host that starts
// anew below them.
func (t *Table) Fenced(cell string, view View, now time.Duration) {
	state := t.state(cell)
	state.fenced++
	t.highest += 1 << (ownBits + min(state.fenced, longestJump))
	restarted := view.Restarted && now < t.started+restartTime
	if restarted && state.fenced <= quickRetries && t.madeByNobody(cell, view) {
		state.noClaim = now + t.limits.Retry
		return
	}
	state.noClaim = now + t.limits.Fenced*time.Duration(min(state.fenced, longestFencedRun))
}

// madeByNobody reports whether a cell's token can't be of a host that lives:
// all that should be there have told their claims, and none claims the cell.
func (t *Table) madeByNobody(cell string, view View) bool {
	for owner := range t.claims[cell] {
		if owner != view.Self.Address {
			return false
		}
	}
	return allHeard(view)
}

// ClaimAccepted takes the news that a claim of ours has held.
func (t *Table) ClaimAccepted(cell string) { t.state(cell).fenced = 0 }
