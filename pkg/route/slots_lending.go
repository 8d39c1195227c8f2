package route

import "time"

// Lend lends up to want idle slots to a borrower. It never lends borrowed slots.
func (s *Slots) Lend(borrower string, want int, now time.Duration) []Grant {
	var grants []Grant
	for _, state := range s.order {
		if want == 0 {
			break
		}
		if !state.usable(now) || s.health.isSuspect(state) {
			continue
		}
		own := state.owned - state.lentSum
		count := min(want, state.room(), own)
		if count <= 0 {
			continue
		}
		state.lent[borrower] += count
		state.lentSum += count
		want -= count
		grants = append(grants, Grant{Address: state.address, Count: count})
	}
	return grants
}

// Reclaim records that a borrower has returned slots.
func (s *Slots) Reclaim(borrower string, grants []Grant) {
	for _, grant := range grants {
		state := s.targets[grant.Address]
		if state == nil {
			continue
		}
		count := min(grant.Count, state.lent[borrower])
		state.lent[borrower] -= count
		state.lentSum -= count
	}
}

// AddBorrowed records slots that a lender granted.
func (s *Slots) AddBorrowed(lender string, grants []Grant) {
	before := len(s.targets)
	for _, grant := range grants {
		state := s.stateOf(grant.Address)
		state.borrowed[lender] += grant.Count
		state.borrowedSum += grant.Count
	}
	if len(s.targets) != before {
		s.reorder()
	}
}

// ReturnIdle removes all idle borrowed slots from the account and returns them
// by lender.
func (s *Slots) ReturnIdle() map[string][]Grant {
	back := map[string][]Grant{}
	for _, state := range s.order {
		for lender := range state.borrowed {
			if grants := state.returnIdle(back[lender], lender, state.borrowedSum); len(grants) > 0 {
				back[lender] = grants
			}
		}
	}
	s.removeUnused()
	return back
}

// ReturnIdleTo removes up to count idle slots of one lender from the account and
// returns them.
func (s *Slots) ReturnIdleTo(lender string, count int) []Grant {
	var grants []Grant
	for _, state := range s.order {
		left := count - CountSlots(grants)
		grants = state.returnIdle(grants, lender, left)
	}
	s.removeUnused()
	return grants
}

// returnIdle removes up to count idle slots of one lender and appends them to
// grants.
func (t *slotState) returnIdle(grants []Grant, lender string, count int) []Grant {
	count = min(count, t.borrowed[lender], t.room())
	if count <= 0 {
		return grants
	}
	t.removeBorrowed(lender, count)
	return append(grants, Grant{Address: t.address, Count: count})
}

func (t *slotState) removeBorrowed(from string, count int) {
	t.borrowedSum -= count
	t.borrowed[from] -= count
	if t.borrowed[from] == 0 {
		delete(t.borrowed, from)
	}
}

// Forget drops the slots lent to and borrowed from a host that was removed or
// restarted.
func (s *Slots) Forget(host string) {
	for _, state := range s.order {
		state.lentSum -= state.lent[host]
		delete(state.lent, host)
		state.borrowedSum -= state.borrowed[host]
		delete(state.borrowed, host)
	}
	s.removeUnused()
}

// LentTo returns the number of slots lent to a host.
func (s *Slots) LentTo(host string) int {
	lent := 0
	for _, state := range s.order {
		lent += state.lent[host]
	}
	return lent
}

// BorrowedSum returns the number of slots borrowed from all hosts.
func (s *Slots) BorrowedSum() int {
	sum := 0
	for _, state := range s.order {
		sum += state.borrowedSum
	}
	return sum
}

// removeUnused removes targets of other domains without borrowed slots or open
// attempts.
func (s *Slots) removeUnused() {
	dropped := false
	for address, state := range s.targets {
		if state.capacity == 0 && state.borrowedSum == 0 && state.busy == 0 {
			delete(s.targets, address)
			dropped = true
		}
	}
	if dropped {
		s.reorder()
	}
}

// Wish is a peer's open request to borrow slots.
type Wish struct {
	Host  string
	Want  int           // slots
	Place time.Duration // order key of the peer's first queued job, by this host's clock
}

// BorrowRequests holds the open borrow requests of peers, one per peer. It is
// not safe for concurrent use.
type BorrowRequests struct {
	byHost map[string]Wish
}

// NewBorrowRequests returns an empty BorrowRequests.
func NewBorrowRequests() *BorrowRequests { return &BorrowRequests{byHost: map[string]Wish{}} }

// Set replaces a peer's request; one without slots cancels it.
func (w *BorrowRequests) Set(wish Wish) {
	if wish.Want <= 0 {
		delete(w.byHost, wish.Host)
		return
	}
	w.byHost[wish.Host] = wish
}

// Remove removes the request of a host.
func (w *BorrowRequests) Remove(host string) { delete(w.byHost, host) }

// First returns the request with the lowest order key, or false if there is none.
func (w *BorrowRequests) First() (Wish, bool) {
	var best Wish
	for _, wish := range w.byHost {
		if best.Host == "" || wish.Place < best.Place || wish.Place == best.Place && wish.Host < best.Host {
			best = wish
		}
	}
	return best, best.Host != ""
}
