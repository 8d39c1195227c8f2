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
	Host    string
	Near    bool // in the own domain
	Leaving bool // leaving: nothing is asked of it
	PeerLoad
}

// MessageKind tells the messages of lending apart.
type MessageKind uint8

// The messages of lending.
const (
	KindBorrow MessageKind = iota + 1 // wish for slots; Want 0 takes the wish back
	KindLend                          // lend slots
	KindReturn                        // return borrowed slots
)

// Message is a message that lending decided to send.
type Message struct {
	Kind   MessageKind
	Host   string
	Want   int
	Place  time.Duration // for KindBorrow: of the first waiting job in its order, from now
	Grants []Grant
	Urgent bool // a task waits for it
}

// Need is what the waiting tasks ask for.
type Need struct {
	Tasks  int           // that could start if there were slots
	Waited time.Duration // of the one that waits longest
	Place  time.Duration // of the first job in its order, by the host's clock
	After  time.Duration // how long a task waits before slots are asked for
}

// NextStep returns how long until waiting alone makes Balance ask for more, or
// false when it will not.
func (n Need) NextStep() (time.Duration, bool) {
	for _, threshold := range []time.Duration{n.After, n.After + askBusyAfter} {
		if n.Tasks > 0 && n.Waited < threshold {
			return threshold - n.Waited, true
		}
	}
	return 0, false
}

// Lending decides when to borrow slots from peers, when to lend idle ones and
// when to give back what was borrowed. It is not safe for concurrent use.
type Lending struct {
	slots   *Slots
	wishes  *Wishes
	lenders []Lender
	asked   map[string]int // by host: slots wished for there
	recall  map[string]int // by host: slots of its own that it wants back
}

// askBusyAfter is how much longer tasks wait before peers are asked that have
// no idle slots as far as is known; a wish there is met when slots fall idle.
const askBusyAfter = 20 * time.Millisecond

// NewLending makes a lending over an account of slots.
func NewLending(slots *Slots) *Lending {
	return &Lending{slots: slots, wishes: NewWishes(), asked: map[string]int{}, recall: map[string]int{}}
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
	if lender := l.lender(host); lender != nil {
		lender.PeerLoad = load
	}
}

// lender returns the peer of a name, or nil.
func (l *Lending) lender(host string) *Lender {
	for i := range l.lenders {
		if l.lenders[i].Host == host {
			return &l.lenders[i]
		}
	}
	return nil
}

// PeerSum returns the load of all peers together, as last heard.
func (l *Lending) PeerSum() PeerLoad {
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

// Forget drops all dealings with a host that is gone or began anew.
func (l *Lending) Forget(host string) {
	delete(l.asked, host)
	delete(l.recall, host)
	l.wishes.Drop(host)
	l.slots.Forget(host)
}

// ReturnRecalled gives idle slots back to the lenders that wish for them. It
// has to come before waiting tasks take the slots.
func (l *Lending) ReturnRecalled() []Message {
	var messages []Message
	for lender, count := range l.recall {
		grants := l.slots.GiveBackTo(lender, count)
		if len(grants) == 0 {
			continue
		}
		messages = append(messages, Message{Kind: KindReturn, Host: lender, Grants: grants, Urgent: true})
		l.recall[lender] -= CountSlots(grants)
		if l.recall[lender] <= 0 {
			delete(l.recall, lender)
		}
	}
	return messages
}

// Balance decides what to send after waiting tasks have taken their slots.
func (l *Lending) Balance(need Need, now time.Duration) []Message {
	var messages []Message
	if need.Tasks > 0 {
		return l.borrow(messages, need, now)
	}
	for lender, grants := range l.slots.GiveBack() {
		messages = append(messages, Message{Kind: KindReturn, Host: lender, Grants: grants})
	}
	messages = l.withdraw(messages)
	return l.lendIdle(messages, now)
}

// borrow asks as many peers as seem needed to cover the tasks that wait.
func (l *Lending) borrow(messages []Message, need Need, now time.Duration) []Message {
	missing := need.Tasks
	for _, lender := range l.lenders {
		// A wish beyond a peer's idle slots may not be met for long.
		missing -= min(l.asked[lender.Host], lender.Idle)
	}
	idle, busy := l.dueLenders(need, missing)
	for _, lender := range idle {
		if missing <= 0 {
			return messages
		}
		messages = append(messages, l.ask(lender, missing, need, now))
		missing -= lender.Idle
	}
	for i, lender := range busy {
		if missing <= 0 {
			return messages
		}
		// Several may give slots up, so each is asked for a part.
		part := (missing + len(busy) - i - 1) / (len(busy) - i)
		messages = append(messages, l.ask(lender, part, need, now))
		missing -= part
	}
	return messages
}

func (l *Lending) ask(lender Lender, want int, need Need, now time.Duration) Message {
	l.asked[lender.Host] = want
	return Message{Kind: KindBorrow, Host: lender.Host, Want: want, Place: need.Place - now, Urgent: true}
}

// dueLenders returns the peers to ask now, those with idle slots apart.
func (l *Lending) dueLenders(need Need, missing int) (idle, busy []Lender) {
	for _, lender := range l.lenders {
		if lender.Leaving || l.asked[lender.Host] > 0 && !l.shouldAskMore(lender.Host, missing) {
			continue
		}
		if need.Waited < l.patience(lender, need) {
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

// shouldAskMore reports whether a host that holds slots of ours was asked for
// far fewer than are needed now.
func (l *Lending) shouldAskMore(host string, missing int) bool {
	return missing >= 2*l.asked[host] && l.slots.LentTo(host) > l.asked[host]
}

// patience is how long tasks wait before a peer is asked. Slots of our own are
// asked back at once.
func (l *Lending) patience(lender Lender, need Need) time.Duration {
	switch {
	case l.slots.LentTo(lender.Host) > 0:
		return 0
	case lender.Idle > 0:
		return need.After
	}
	return need.After + askBusyAfter
}

func (l *Lending) withdraw(messages []Message) []Message {
	for host := range l.asked {
		delete(l.asked, host)
		messages = append(messages, Message{Kind: KindBorrow, Host: host})
	}
	return messages
}

// lendIdle lends idle slots to the peers whose jobs come first.
func (l *Lending) lendIdle(messages []Message, now time.Duration) []Message {
	for {
		wish, ok := l.wishes.First()
		if !ok {
			return messages
		}
		grants := l.slots.Lend(wish.Host, wish.Want, now)
		if len(grants) == 0 {
			return messages
		}
		wish.Want -= CountSlots(grants)
		l.wishes.Set(wish)
		messages = append(messages, Message{Kind: KindLend, Host: wish.Host, Grants: grants, Urgent: true})
	}
}

// OnBorrow takes a peer's wish. A host that wishes for slots wants those back
// that it lent to us.
func (l *Lending) OnBorrow(wish Wish) {
	l.wishes.Set(wish)
	l.recall[wish.Host] = wish.Want
	if wish.Want == 0 {
		delete(l.recall, wish.Host)
	}
}

// OnLend takes slots that a peer lent.
func (l *Lending) OnLend(host string, grants []Grant) {
	l.slots.Borrowed(host, grants)
	count := CountSlots(grants)
	l.takeIdle(host, count, l.asked[host] > count)
	l.met(host, count)
}

// met counts slots that came off what was wished for at a host.
func (l *Lending) met(host string, count int) {
	if l.asked[host] > count {
		l.asked[host] -= count
		return
	}
	delete(l.asked, host)
}

// takeIdle counts slots that a peer lent off its idle ones. A peer that lent
// less than was asked for has none left.
func (l *Lending) takeIdle(host string, count int, all bool) {
	lender := l.lender(host)
	if lender == nil {
		return
	}
	lender.Idle = max(0, lender.Idle-count)
	if all {
		lender.Idle = 0
	}
}

// OnReturn takes slots back from a peer, which may be what was wished for.
func (l *Lending) OnReturn(host string, grants []Grant) {
	l.slots.Returned(host, grants)
	l.met(host, CountSlots(grants))
}

// Undelivered takes the news that a message could not be sent.
func (l *Lending) Undelivered(message Message) {
	switch message.Kind {
	case KindBorrow:
		delete(l.asked, message.Host)
	case KindLend:
		l.slots.Returned(message.Host, message.Grants)
		l.wishes.Drop(message.Host)
	case KindReturn:
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
