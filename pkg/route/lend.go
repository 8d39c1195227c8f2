package route

import "time"

// Lend takes up to want idle slots from the account for a borrower. It never
// lends borrowed slots on.
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

// Returned takes slots back from a borrower.
func (s *Slots) Returned(borrower string, grants []Grant) {
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

// Borrowed takes slots that a lender granted.
func (s *Slots) Borrowed(lender string, grants []Grant) {
	before := len(s.targets)
	for _, grant := range grants {
		state := s.known(grant.Address)
		state.borrowed[lender] += grant.Count
		state.borrSum += grant.Count
	}
	if len(s.targets) != before {
		s.reorder()
	}
}

// GiveBack takes all idle borrowed slots out of the account and returns them
// by lender.
func (s *Slots) GiveBack() map[string][]Grant {
	back := map[string][]Grant{}
	for _, state := range s.order {
		for lender := range state.borrowed {
			if grants := state.giveBack(back[lender], lender, state.borrSum); len(grants) > 0 {
				back[lender] = grants
			}
		}
	}
	s.dropEmpty()
	return back
}

// GiveBackTo takes up to count idle slots of one lender out of the account.
func (s *Slots) GiveBackTo(lender string, count int) []Grant {
	var grants []Grant
	for _, state := range s.order {
		left := count - CountSlots(grants)
		grants = state.giveBack(grants, lender, left)
	}
	s.dropEmpty()
	return grants
}

func (t *slotState) giveBack(grants []Grant, lender string, count int) []Grant {
	count = min(count, t.borrowed[lender], t.room())
	if count <= 0 {
		return grants
	}
	t.takeBorrowed(lender, count)
	return append(grants, Grant{Address: t.address, Count: count})
}

func (t *slotState) takeBorrowed(from string, count int) {
	t.borrSum -= count
	t.borrowed[from] -= count
	if t.borrowed[from] == 0 {
		delete(t.borrowed, from)
	}
}

// Forget drops what was lent to and borrowed from a host that is gone.
func (s *Slots) Forget(host string) {
	for _, state := range s.order {
		state.lentSum -= state.lent[host]
		delete(state.lent, host)
		state.borrSum -= state.borrowed[host]
		delete(state.borrowed, host)
	}
	s.dropEmpty()
}

// LentTo returns the number of slots lent to a host.
func (s *Slots) LentTo(host string) int {
	lent := 0
	for _, state := range s.order {
		lent += state.lent[host]
	}
	return lent
}

// BorrowedSum returns the number of slots borrowed in all.
func (s *Slots) BorrowedSum() int {
	sum := 0
	for _, state := range s.order {
		sum += state.borrSum
	}
	return sum
}

// dropEmpty drops targets of other domains that are no longer borrowed.
func (s *Slots) dropEmpty() {
	dropped := false
	for address, state := range s.targets {
		if state.capacity == 0 && state.borrSum == 0 && state.busy == 0 {
			delete(s.targets, address)
			dropped = true
		}
	}
	if dropped {
		s.reorder()
	}
}

// Wish is a peer's wish for slots that could not be met at once.
type Wish struct {
	Host  string
	Want  int
	Place time.Duration // of the first waiting job in its order, by this host's clock
}

// Wishes are the peers that want slots. They are not safe for concurrent use.
type Wishes struct {
	byHost map[string]Wish
}

// NewWishes makes an empty list.
func NewWishes() *Wishes { return &Wishes{byHost: map[string]Wish{}} }

// Set takes a peer's wish; want 0 takes it back.
func (w *Wishes) Set(wish Wish) {
	if wish.Want <= 0 {
		delete(w.byHost, wish.Host)
		return
	}
	w.byHost[wish.Host] = wish
}

// Drop takes back the wish of a host.
func (w *Wishes) Drop(host string) { delete(w.byHost, host) }

// First returns the wish whose job comes first in its order.
func (w *Wishes) First() (Wish, bool) {
	var best Wish
	for _, wish := range w.byHost {
		if best.Host == "" || wish.Place < best.Place || wish.Place == best.Place && wish.Host < best.Host {
			best = wish
		}
	}
	return best, best.Host != ""
}
