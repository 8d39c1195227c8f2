package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// A connection that ends, or falls silent for good, says nothing of the host at
// its other end: the link stays up over another one, and the calls that were
// under way fail at once, so that they can be made again.
func TestALinkOutlivesItsConnection(t *testing.T) {
	scenarios := []struct {
		testName string
		lose     func(r *rig)
	}{
		{"it falls silent", func(r *rig) { r.relay.Silence() }},
		{"it is reset", func(r *rig) { r.relay.Reset() }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			served := make(chan string, 10)
			r := newRig(t, func(m *peerpb.Message, reply Reply) {
				served <- m.GetRecord().Part
				if m.GetRecord().Part != "held" {
					reply(acknowledge(7), 0)
				}
			})
			before := r.link.session.Load()
			failed := make(chan error, 1)
			go func() {
				_, err := r.link.Call(context.Background(), record("held"), 0)
				failed <- err
			}()
			qt.Assert(t, <-served, qt.Equals, "held")
			s.lose(r)
			qt.Assert(t, errkind.Of(<-failed), qt.Equals, errkind.PeerDown)
			qt.Assert(t, r.link.Up(), qt.IsTrue)
			qt.Assert(t, r.link.session.Load(), qt.Not(qt.Equals), before)
			_, err := r.link.Call(context.Background(), record("again"), 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.local.ups.Load(), qt.Equals, int64(1), qt.Commentf("the observer isn't told of the loss"))
			r.eventually(t, func() bool { return r.local.resumed.Load() == 1 })
		})
	}
}

func TestALinkToAnotherProcessIsNotResumed(t *testing.T) {
	r := newRig(t, func(_ *peerpb.Message, reply Reply) { reply(acknowledge(7), 0) })
	r.remote.incarnation.Store(2)
	r.relay.Reset()
	r.eventually(t, func() bool { return r.local.ups.Load() == 2 })
}

// departures notes which processes have left.
type departures struct {
	mu   sync.Mutex
	left []byte
}

func (d *departures) add(hello *peerpb.Hello) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = append(d.left, hello.Incarnation[0])
}

func (d *departures) all() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]byte{}, d.left...)
}

func helloOf(incarnation byte, link uint64) *peerpb.Hello {
	return &peerpb.Hello{Address: "front:1", Dialled: "owner:1", Incarnation: []byte{incarnation}, Link: link}
}

// join opens a session and uses it.
func join(c *callers, hello *peerpb.Hello) *servedSession {
	s := &servedSession{}
	c.greeted(hello)
	c.used(hello, s)
	return s
}

func TestWhenACallerHasLeft(t *testing.T) {
	scenarios := []struct {
		testName string
		play     func(c *callers)
		want     []byte
	}{
		{"it lost its connection and doesn't come back", func(c *callers) {
			c.ended(helloOf(1, 1), join(c, helloOf(1, 1)))
		}, []byte{1}},
		{"it comes back", func(c *callers) {
			c.ended(helloOf(1, 1), join(c, helloOf(1, 1)))
			join(c, helloOf(1, 1))
		}, []byte{}},
		{"it came back before its connection was known to be lost", func(c *callers) {
			s := join(c, helloOf(1, 1))
			join(c, helloOf(1, 1))
			c.ended(helloOf(1, 1), s)
		}, []byte{}},
		{"it tries to come back, and has no answer", func(c *callers) {
			c.ended(helloOf(1, 1), join(c, helloOf(1, 1)))
			c.greeted(helloOf(1, 1))
			c.ended(helloOf(1, 1), &servedSession{})
		}, []byte{1}},
		{"it has counted the link as down: what it had under way is lost", func(c *callers) {
			join(c, helloOf(1, 1))
			c.greeted(helloOf(1, 2))
		}, []byte{1}},
		{"another process took its place", func(c *callers) {
			c.ended(helloOf(1, 1), join(c, helloOf(1, 1)))
			join(c, helloOf(2, 1))
		}, []byte{1}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := &departures{}
			s.play(newCallers(d.add))
			for deadline := time.Now().Add(10 * time.Second); len(d.all()) < len(s.want) && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * resumeTimeout) // a departure that isn't wanted would come by then
			qt.Assert(t, d.all(), qt.DeepEquals, s.want)
		})
	}
}

// Nothing is handled from a session once its peer uses another one; one that the
// peer only tries takes nothing from it.
func TestWhenAnEarlierSessionIsOver(t *testing.T) {
	c := newCallers(func(*peerpb.Hello) {})
	first := join(c, helloOf(1, 1))
	c.greeted(helloOf(1, 1))
	qt.Assert(t, first.over.Load(), qt.IsFalse)
	c.used(helloOf(1, 1), &servedSession{})
	qt.Assert(t, first.over.Load(), qt.IsTrue)
}

// A front that has given an owner up hands its jobs to another one. Where only the
// answers of the owner are cut off, its next hello still comes through: the owner
// has to count it as gone then, not as back.
func TestALinkThatIsUpAnewHasAnotherNumber(t *testing.T) {
	r := newRig(t, func(_ *peerpb.Message, reply Reply) { reply(acknowledge(7), 0) })
	before := r.link.number.Load()
	r.relay.Reset()
	r.eventually(t, func() bool {
		_, err := r.link.Call(context.Background(), record("x"), 0)
		return err == nil
	})
	qt.Assert(t, r.link.number.Load(), qt.Equals, before, qt.Commentf("it is resumed"))
	r.relay.SetCutWays(false, true)
	r.eventually(t, func() bool { return r.local.up.Load() == 0 })
	qt.Assert(t, r.link.number.Load() > before, qt.IsTrue)
}
