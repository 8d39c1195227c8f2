package route

import (
	"sort"
	"time"
)

// PeerLoad is the load that a peer last reported.
type PeerLoad struct {
	Idle    int // idle slots
	Usable  int // slots that the peer may use, busy or idle
	Waiting int // queued tasks
}

// Lender is a peer that slots may be borrowed from.
type Lender struct {
	Host    string
	Near    bool // in the same domain
	Leaving bool // the peer is leaving and gets no borrow requests
	PeerLoad
}

// MessageKind is the kind of a lending message.
type MessageKind uint8

// Kinds of lending messages.
const (
	KindBorrow MessageKind = iota + 1 // requests slots; Want 0 cancels the request
	KindLend                          // lends slots
	KindReturn                        // returns borrowed slots
)

// Message is a lending message to be sent to a peer.
type Message struct {
	Kind   MessageKind
	Host   string        // receiver
	Want   int           // KindBorrow: slots requested
	Place  time.Duration // KindBorrow: order key of the first queued job, relative to now
	Grants []Grant       // KindLend, KindReturn
	Urgent bool          // a queued task depends on the message
}

// Need is the demand for slots of the queued tasks.
type Need struct {
	Tasks  int           // tasks that would start if there were slots
	Waited time.Duration // time in the queue of the oldest job
	Place  time.Duration // order key of the first queued job, by the host's clock
	After  time.Duration // time in the queue before slots are borrowed
}

// NextThreshold returns the time until Balance may send further borrow requests
// because tasks have waited longer, or false if waiting changes nothing.
func (n Need) NextThreshold() (time.Duration, bool) {
	for _, threshold := range []time.Duration{n.After, n.After + busyPeerDelay} {
		if n.Tasks > 0 && n.Waited < threshold {
			return threshold - n.Waited, true
		}
	}
	return 0, false
}

// Lending decides when to borrow slots from peers, when to lend idle slots, and
// when to return borrowed slots. It is not safe for concurrent use.
type Lending struct {
	slots     *Slots
	pending   *BorrowRequests
	lenders   []Lender
	requested map[string]int // by host: slots requested from it
	recalled  map[string]int // by host: slots that it lent and requests back
}

// busyPeerDelay is the extra time that tasks wait before slots are requested
// from peers without known idle slots. Such a peer lends slots once they become
// idle.
const busyPeerDelay = 20 * time.Millisecond

// NewLending returns a Lending for an account of slots.
func NewLending(slots *Slots) *Lending {
	return &Lending{slots: slots, pending: NewBorrowRequests(), requested: map[string]int{}, recalled: map[string]int{}}
}

// SetLenders replaces the peers and forgets those that were removed. Peers of
// the same domain come first, then those with more idle slots.
func (l *Lending) SetLenders(lenders []Lender) {
	present := map[string]bool{}
	for _, lender := range lenders {
		present[lender.Host] = true
	}
	for _, before := range l.lenders {
		if !present[before.Host] {
			l.Forget(before.Host)
		}
	}
	l.lenders = append([]Lender(nil), lenders...)
	sort.SliceStable(l.lenders, func(i, j int) bool {
		a, b := l.lenders[i], l.lenders[j]
		if a.Near != b.Near {
			return a.Near
		}
		return a.Idle > b.Idle
	})
}

// SetLoad records the load reported by a peer.
func (l *Lending) SetLoad(host string, load PeerLoad) {
	if lender := l.lender(host); lender != nil {
		lender.PeerLoad = load
	}
}

// lender returns the peer with the given host name, or nil.
func (l *Lending) lender(host string) *Lender {
	for i := range l.lenders {
		if l.lenders[i].Host == host {
			return &l.lenders[i]
		}
	}
	return nil
}

// TotalPeerLoad returns the sum of the last reported loads of all peers that are
// not leaving.
func (l *Lending) TotalPeerLoad() PeerLoad {
	var sum PeerLoad
	for _, lender := range l.lenders {
		if lender.Leaving {
			continue
		}
		sum.Idle += lender.Idle
		sum.Usable += lender.Usable
		sum.Waiting += lender.Waiting
	}
	return sum
}

// Forget drops all requests and loans of a host that was removed or restarted.
func (l *Lending) Forget(host string) {
	delete(l.requested, host)
	delete(l.recalled, host)
	l.pending.Remove(host)
	l.slots.Forget(host)
}

// ReturnRecalled returns idle slots to the lenders that have requested them
// back. It must be called before queued tasks take the slots.
func (l *Lending) ReturnRecalled() []Message {
	var messages []Message
	for lender, count := range l.recalled {
		grants := l.slots.ReturnIdleTo(lender, count)
		if len(grants) == 0 {
			continue
		}
		messages = append(messages, Message{Kind: KindReturn, Host: lender, Grants: grants, Urgent: true})
		l.recalled[lender] -= CountSlots(grants)
		if l.recalled[lender] <= 0 {
			delete(l.recalled, lender)
		}
	}
	return messages
}

// Balance returns the messages to send after queued tasks have taken the free
// slots: borrow requests if tasks remain queued, else returns and loans.
func (l *Lending) Balance(need Need, now time.Duration) []Message {
	var messages []Message
	if need.Tasks > 0 {
		return l.borrow(messages, need, now)
	}
	for lender, grants := range l.slots.ReturnIdle() {
		messages = append(messages, Message{Kind: KindReturn, Host: lender, Grants: grants})
	}
	messages = l.cancelRequests(messages)
	return l.lendIdle(messages, now)
}

// borrow requests slots from as many peers as needed to cover the queued tasks.
func (l *Lending) borrow(messages []Message, need Need, now time.Duration) []Message {
	missing := need.Tasks
	for _, lender := range l.lenders {
		// A request beyond a peer's idle slots may stay open for long.
		missing -= min(l.requested[lender.Host], lender.Idle)
	}
	idle, busy := l.dueLenders(need, missing)
	for _, lender := range idle {
		if missing <= 0 {
			return messages
		}
		messages = append(messages, l.request(lender, missing, need, now))
		missing -= lender.Idle
	}
	for i, lender := range busy {
		if missing <= 0 {
			return messages
		}
		// Any busy peer may free slots, so each is asked for a part.
		part := (missing + len(busy) - i - 1) / (len(busy) - i)
		messages = append(messages, l.request(lender, part, need, now))
		missing -= part
	}
	return messages
}

func (l *Lending) request(lender Lender, want int, need Need, now time.Duration) Message {
	l.requested[lender.Host] = want
	return Message{Kind: KindBorrow, Host: lender.Host, Want: want, Place: need.Place - now, Urgent: true}
}

// dueLenders returns the peers to request slots from now, split into those with
// idle slots and those without.
func (l *Lending) dueLenders(need Need, missing int) (idle, busy []Lender) {
	for _, lender := range l.lenders {
		if lender.Leaving || l.requested[lender.Host] > 0 && !l.shouldRequestMore(lender.Host, missing) {
			continue
		}
		if need.Waited < l.requestDelay(lender, need) {
			continue
		}
		if lender.Idle > 0 {
			idle = append(idle, lender)
			continue
		}
		busy = append(busy, lender)
	}
	return idle, busy
}

// shouldRequestMore reports whether at least twice the requested slots are
// missing now, at a host that holds more of our slots than were requested.
func (l *Lending) shouldRequestMore(host string, missing int) bool {
	return missing >= 2*l.requested[host] && l.slots.LentTo(host) > l.requested[host]
}

// requestDelay returns how long tasks wait before slots are requested from a
// peer. Slots lent to the peer are recalled at once.
func (l *Lending) requestDelay(lender Lender, need Need) time.Duration {
	switch {
	case l.slots.LentTo(lender.Host) > 0:
		return 0
	case lender.Idle > 0:
		return need.After
	}
	return need.After + busyPeerDelay
}

// cancelRequests cancels all open borrow requests.
func (l *Lending) cancelRequests(messages []Message) []Message {
	for host := range l.requested {
		delete(l.requested, host)
		messages = append(messages, Message{Kind: KindBorrow, Host: host})
	}
	return messages
}

// lendIdle lends idle slots to peers, in the order of their jobs' order keys.
func (l *Lending) lendIdle(messages []Message, now time.Duration) []Message {
	for {
		wish, ok := l.pending.First()
		if !ok {
			return messages
		}
		grants := l.slots.Lend(wish.Host, wish.Want, now)
		if len(grants) == 0 {
			return messages
		}
		wish.Want -= CountSlots(grants)
		l.pending.Set(wish)
		messages = append(messages, Message{Kind: KindLend, Host: wish.Host, Grants: grants, Urgent: true})
	}
}

// OnBorrow handles a peer's borrow request. It also recalls the slots that the
// peer lent to this host.
func (l *Lending) OnBorrow(wish Wish) {
	l.pending.Set(wish)
	l.recalled[wish.Host] = wish.Want
	if wish.Want == 0 {
		delete(l.recalled, wish.Host)
	}
}

// OnLend handles a loan of slots from a peer.
func (l *Lending) OnLend(host string, grants []Grant) {
	l.slots.AddBorrowed(host, grants)
	count := CountSlots(grants)
	l.deductIdle(host, count, l.requested[host] > count)
	l.deductRequested(host, count)
}

// deductRequested deducts received slots from those requested from a host.
func (l *Lending) deductRequested(host string, count int) {
	if l.requested[host] > count {
		l.requested[host] -= count
		return
	}
	delete(l.requested, host)
}

// deductIdle deducts slots that a peer lent from its idle ones. If all is true,
// the peer lent fewer than requested and so has none left.
func (l *Lending) deductIdle(host string, count int, all bool) {
	lender := l.lender(host)
	if lender == nil {
		return
	}
	lender.Idle = max(0, lender.Idle-count)
	if all {
		lender.Idle = 0
	}
}

// OnReturn handles slots returned by a peer. They count towards the slots
// requested from it.
func (l *Lending) OnReturn(host string, grants []Grant) {
	l.slots.Reclaim(host, grants)
	l.deductRequested(host, CountSlots(grants))
}

// Undelivered reverts the effects of a message that could not be sent.
func (l *Lending) Undelivered(message Message) {
	switch message.Kind {
	case KindBorrow:
		delete(l.requested, message.Host)
	case KindLend:
		l.slots.Reclaim(message.Host, message.Grants)
		l.pending.Remove(message.Host)
	case KindReturn:
		// The lender drops the loan when it detects that the link is down.
	}
}

// CountSlots returns the total number of slots of the grants.
func CountSlots(grants []Grant) int {
	sum := 0
	for _, grant := range grants {
		sum += grant.Count
	}
	return sum
}
