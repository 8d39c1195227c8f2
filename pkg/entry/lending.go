package entry

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/route"
)

// lendingSender sends a message about lent slots and reports whether the link was up.
type lendingSender func(pool string, message route.Message, wait time.Duration) bool

func (h *Host) onLending(from *peerpb.Hello, m *peerpb.Message) {
	switch body := m.Body.(type) {
	case *peerpb.Message_Borrow:
		if d := h.dispatcher(body.Borrow.Pool); d != nil {
			d.onBorrow(from.Name, int(body.Borrow.Want), time.Duration(body.Borrow.PlaceUs)*time.Microsecond)
		}
	case *peerpb.Message_Lend:
		if d := h.dispatcher(body.Lend.Pool); d != nil {
			d.onLend(from.Name, toGrants(body.Lend.Slots))
		}
	case *peerpb.Message_Return:
		if d := h.dispatcher(body.Return.Pool); d != nil {
			d.onReturn(from.Name, toGrants(body.Return.Slots))
		}
	}
}

// sendLending sends a message about lent slots and reports whether the link was up.
func (h *Host) sendLending(pool string, message route.Message, wait time.Duration) bool {
	return h.members.send(message.Host, lendingMessage(pool, message), wait)
}

// onLoad applies the load that a peer reported to all pools.
func (h *Host) onLoad(host string, load route.PeerLoad) {
	h.eachDispatcher(func(d *dispatcher) { d.onLoad(host, load) })
}

// onBorrow handles a peer's request for slots. place is the place of its first job in
// the order, relative to now.
func (d *dispatcher) onBorrow(host string, want int, place time.Duration) {
	d.update(func() {
		d.scheduler.Lending().OnBorrow(route.Wish{Host: host, Want: want, Place: d.Clock.Now() + place})
	})
}

// onLend handles slots that a peer lent. They are returned at once when no task waits.
func (d *dispatcher) onLend(host string, grants []route.Grant) {
	d.update(func() { d.scheduler.Lending().OnLend(host, grants) })
}

// onReturn handles slots that a peer returned.
func (d *dispatcher) onReturn(host string, grants []route.Grant) {
	d.update(func() { d.scheduler.Lending().OnReturn(host, grants) })
}

// onPeerReplaced forgets the slots lent to and borrowed from a host that is
// unreachable or has restarted.
func (d *dispatcher) onPeerReplaced(host string) {
	d.update(func() { d.scheduler.Lending().Forget(host) })
}

// onLoad applies the slots and tasks that a peer reported.
func (d *dispatcher) onLoad(host string, load route.PeerLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Lending().SetLoad(host, load)
}
