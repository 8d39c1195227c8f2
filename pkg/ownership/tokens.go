package ownership

import "time"

// A token is a time of day in ticks, followed by low bits of the host that makes it, so
// that no two hosts make the same token. Tokens made after a restart of the whole system
// therefore exceed those from before without any coordination. All 53 bits are exact in a
// JSON number.
const (
	hostBits       = 18 // low bits of a token, from the id of its host
	ticksPerSecond = 16 // ticks of the time of day in the high bits
)

// maxJumpShift bounds how far a token jumps ahead after a refusal, as a power of two in
// ticks: 64 ticks, or 4 s, more than the clocks of hosts differ.
const maxJumpShift = 6

// maxQuickRetries is how many times in a row a host retries quickly after refusals that no
// running host can have caused.
const maxQuickRetries = 8

// restartWindow is how long after its own start a host may attribute a refusal to the token
// of a host that has died. Later, the token may be of a host that has just started and is
// not known yet.
const restartWindow = 5 * time.Second

// maxFenceBackoff bounds the wait after consecutive refusals, as a multiple of
// Limits.Fenced.
const maxFenceBackoff = 4

// ticks converts a time of day.
func ticks(now time.Time) int64 {
	return now.UnixMilli() * ticksPerSecond / time.Second.Milliseconds()
}

// NextToken returns a token above all known ones, and above those made before a restart of
// the whole system. now is the time of day, and the low bits of hostID tell the tokens of
// hosts apart.
func (t *Table) NextToken(now time.Time, hostID uint32) int64 {
	counter := max(t.highestToken>>hostBits+1, ticks(now))
	token := counter<<hostBits | int64(hostID&(1<<hostBits-1))
	t.highestToken = token
	return token
}

// ClaimRefused records that an executor refused this host's token because it knows a higher one.
// The holder of that one is unknown. The next token has to exceed it, so tokens jump ahead,
// at first by little: long jumps would put them ahead of the clock, where a restarted
// host's new tokens would not exceed them.
func (t *Table) ClaimRefused(cell string, view View, now time.Duration) {
	state := t.state(cell)
	state.consecutiveFences++
	t.highestToken += 1 << (hostBits + min(state.consecutiveFences, maxJumpShift))
	restarted := view.Restarted && now < t.started+restartWindow
	if restarted && state.consecutiveFences <= maxQuickRetries && t.hasNoLiveHolder(cell, view) {
		state.noClaimBefore = now + t.limits.Retry
		return
	}
	state.noClaimBefore = now + t.limits.Fenced*time.Duration(min(state.consecutiveFences, maxFenceBackoff))
}

// hasNoLiveHolder reports whether no running host can hold the token of a cell: all
// expected hosts have reported their claims, and none of them claims the cell.
func (t *Table) hasNoLiveHolder(cell string, view View) bool {
	for owner := range t.claims[cell] {
		if owner != view.Self.Address {
			return false
		}
	}
	return allReported(view)
}

// ClaimAccepted records that the executors have accepted a claim of this host.
func (t *Table) ClaimAccepted(cell string) { t.state(cell).consecutiveFences = 0 }
