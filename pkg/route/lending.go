package route

import (
	"sort"
	"time"
)

// PeerLoad is what a peer last told of its slots and tasks.
type PeerLoad struct {
	Idle    int // slots
	Usable  int // slots that it may fill at once
	Waiting int // tasks
}

// Lender is a peer that slots may be borrowed from.
type Lender struct {
	Host   string
	Near   bool // in the own domain
	Parted bool // leaving: nothing is asked of it
	PeerLoad
}

// DealKind tells the messages of lending apart.
type DealKind uint8

// The messages of lending.
const (
	Ask      DealKind = iota + 1 // wish for slots; Want 0 takes the wish back
	Hand                         // lend slots
	HandBack                     // return borrowed slots
)

// Deal is a message that lending decided to send.
type Deal struct {
	Kind   DealKind
	Host   string
	Want   int
	Waited time.Duration // of the task that waits longest, for Ask
	Grants []Grant
}

// Need is what the waiting tasks ask for.
type Need struct {
	Tasks  int           // that could start if there were slots
	Waited time.Duration // of the one that waits longest
	After  time.Duration // how long a task waits before slots are asked for
}

// Lending decides when to borrow slots from peers, when to lend idle ones and
// when to give back what was borrowed. It is not safe for concurrent use.
type Lending struct {
	slots   *Slots
	wishes  *Wishes
	lenders []Lender
	asked   map[string]int  // by host: slots wished for there
	recall  map[string]bool // hosts that want their slots back
}

// NewLending makes a lending over an account of slots.
func NewLending(slots *Slots) *Lending {
	return &Lending{slots: slots, wishes: NewWishes(), asked: map[string]int{}, recall: map[string]bool{}}
}

// SetLenders takes the peers that there are, and drops all dealings with
// those that are gone.
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

// SetLoad takes a peer's word on its slots and tasks.
func (l *Lending) SetLoad(host string, load PeerLoad) {
	for i := range l.lenders {
		if l.lenders[i].Host == host {
			l.lenders[i].PeerLoad = load
		}
	}
}

// PeerSum returns the load of all peers together, as last heard.
func (l *Lending) PeerSum() PeerLoad {
	var sum PeerLoad
	for _, lender := range l.lenders {
		if lender.Parted {
			continue
		}
		sum.Idle += lender.Idle
		sum.Usable += lender.Usable
		sum.Waiting += lender.Waiting
	}
	return sum
}

// Forget drops all dealings with a host that is gone or began anew.
func (l *Lending) Forget(host string) {
	delete(l.asked, host)
	delete(l.recall, host)
	l.wishes.Drop(host)
	l.slots.Forget(host)
}

// Balance decides what to send after a change.
func (l *Lending) Balance(need Need, now time.Duration) []Deal {
	var deals []Deal
	for host := range l.recall {
		deals = l.giveBack(deals, host)
	}
	if need.Tasks > 0 {
		return l.borrow(deals, need)
	}
	deals = l.giveBack(deals, "")
	deals = l.withdraw(deals)
	return l.lendIdle(deals, now)
}

// borrow asks as many peers as seem needed to cover the tasks that wait.
func (l *Lending) borrow(deals []Deal, need Need) []Deal {
	if need.Waited < need.After {
		return deals
	}
	missing := need.Tasks
	for _, lender := range l.lenders {
		// A wish beyond a peer's idle slots may not be met for long.
		missing -= min(l.asked[lender.Host], lender.Idle)
	}
	for _, lender := range l.lenders {
		if missing <= 0 {
			break
		}
		if lender.Parted || l.asked[lender.Host] > 0 {
			continue
		}
		l.asked[lender.Host] = missing
		deals = append(deals, Deal{Kind: Ask, Host: lender.Host, Want: missing, Waited: need.Waited})
		missing -= lender.Idle
	}
	return deals
}

func (l *Lending) withdraw(deals []Deal) []Deal {
	for host := range l.asked {
		delete(l.asked, host)
		deals = append(deals, Deal{Kind: Ask, Host: host})
	}
	return deals
}

func (l *Lending) giveBack(deals []Deal, host string) []Deal {
	for lender, grants := range l.slots.GiveBack(host) {
		deals = append(deals, Deal{Kind: HandBack, Host: lender, Grants: grants})
	}
	return deals
}

// lendIdle lends idle slots to the peers that have waited longest.
func (l *Lending) lendIdle(deals []Deal, now time.Duration) []Deal {
	for {
		wish, ok := l.wishes.Longest()
		if !ok {
			return deals
		}
		grants := l.slots.Lend(wish.Host, wish.Want, now)
		if len(grants) == 0 {
			return deals
		}
		wish.Want -= CountSlots(grants)
		l.wishes.Set(wish)
		deals = append(deals, Deal{Kind: Hand, Host: wish.Host, Grants: grants})
	}
}

// OnAsk takes a peer's wish. A host that wishes for slots wants those back
// that it lent to us.
func (l *Lending) OnAsk(wish Wish) {
	l.wishes.Set(wish)
	l.recall[wish.Host] = wish.Want > 0
	if wish.Want == 0 {
		delete(l.recall, wish.Host)
	}
}

// OnHand takes slots that a peer lent.
func (l *Lending) OnHand(host string, grants []Grant) {
	l.slots.Borrowed(host, grants)
	count := CountSlots(grants)
	l.takeIdle(host, count, l.asked[host] > count)
	if l.asked[host] > count {
		l.asked[host] -= count
		return
	}
	delete(l.asked, host)
}

// takeIdle counts slots that a peer lent off its idle ones. A peer that lent
// less than was asked for has none left.
func (l *Lending) takeIdle(host string, count int, all bool) {
	for i := range l.lenders {
		if l.lenders[i].Host != host {
			continue
		}
		l.lenders[i].Idle = max(0, l.lenders[i].Idle-count)
		if all {
			l.lenders[i].Idle = 0
		}
	}
}

// OnHandBack takes slots back from a peer.
func (l *Lending) OnHandBack(host string, grants []Grant) { l.slots.Returned(host, grants) }

// Undelivered takes the news that a deal could not be sent.
func (l *Lending) Undelivered(deal Deal) {
	switch deal.Kind {
	case Ask:
		delete(l.asked, deal.Host)
	case Hand:
		l.slots.Returned(deal.Host, deal.Grants)
		l.wishes.Drop(deal.Host)
	case HandBack:
		// The lender drops what it lent when it notices that the link is down.
	}
}

// CountSlots adds up grants.
func CountSlots(grants []Grant) int {
	sum := 0
	for _, grant := range grants {
		sum += grant.Count
	}
	return sum
}
