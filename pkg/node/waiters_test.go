package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Duration }

func (m *manualClock) Now() time.Duration { return m.now }

// waitingFront is a front that waits for a job at an owner.
type waitingFront struct {
	hello  *peerpb.Hello
	answer chan job.Outcome
}

func (f *waitingFront) submit(o *owner, j *job.Job, epoch int, renewedAt time.Duration) {
	o.submit(cell.Handover{Job: j, Epoch: epoch, RenewedAt: renewedAt}, waiter{
		front: f.hello.Address, connection: f.hello, reply: func(outcome job.Outcome) { f.answer <- outcome },
	})
}

func newWaitingFront(address string) *waitingFront {
	hello := &peerpb.Hello{Address: address, Domain: "z", Incarnation: []byte(address)}
	return &waitingFront{hello: hello, answer: make(chan job.Outcome, 2)}
}

// A front that has lost the owner of a job takes all its runs there for over once the lease that it
// renewed last has ended. Another front that waits for the same job must not prolong it.
func TestAJobEndsAtItsOwnerWithTheLeaseOfAFrontThatIsLost(t *testing.T) {
	type scenario struct {
		testName  string
		kept      bool
		lose      func(o *owner, first *waitingFront, j *job.Job)
		comesBack bool // and renews
		returned  bool
	}
	scenarios := []scenario{
		{testName: "the first front no longer renews", lose: func(*owner, *waitingFront, *job.Job) {}, returned: true},
		{testName: "its link has closed", returned: true, lose: func(o *owner, first *waitingFront, _ *job.Job) {
			o.withdrawFront(first.hello.Address, reasonFrontDisconnected)
		}},
		{testName: "it is silent", returned: true, lose: func(o *owner, first *waitingFront, _ *job.Job) {
			o.withdrawFront(first.hello.Address, reasonFrontUnresponsive)
		}},
		{testName: "its link has closed, and it has come back", comesBack: true, lose: func(o *owner, first *waitingFront, j *job.Job) {
			o.withdrawFront(first.hello.Address, reasonFrontDisconnected)
			now := o.node.Clock.Now()
			first.submit(o, j, 2, now)
		}},
		{testName: "it has submitted the job again on another link", comesBack: true, lose: func(o *owner, first *waitingFront, j *job.Job) {
			first.hello = &peerpb.Hello{Address: first.hello.Address, Domain: "z", Incarnation: first.hello.Incarnation}
			first.submit(o, j, 2, o.node.Clock.Now())
		}},
		{testName: "it has withdrawn the job", lose: func(o *owner, first *waitingFront, j *job.Job) {
			o.withdraw(j.ID, first.hello.Address, "caller_left")
		}},
		{testName: "its link has closed, and the job is kept", kept: true, lose: func(o *owner, first *waitingFront, _ *job.Job) {
			o.withdrawFront(first.hello.Address, reasonFrontDisconnected)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &manualClock{now: time.Minute}
			n.Clock = clock
			o := newOwner(n, "cell", 1, clock.now)
			now := clock.now
			j := &job.Job{ID: "a", Service: "s", Kept: s.kept, Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour}
			first, second := newWaitingFront("first:1"), newWaitingFront("second:1")
			first.submit(o, j, 1, now)
			second.submit(o, j, 2, now) // it has looked for the job and has not found it
			s.lose(o, first, j)
			for clock.now < now+2500*time.Millisecond { // long after the lease that the first front has renewed
				clock.now += 20 * time.Millisecond
				o.renew(second.hello, clock.now)
				if s.comesBack {
					o.renew(first.hello, clock.now)
				}
				o.tick()
			}
			if !s.returned {
				c.Assert(second.answer, qt.HasLen, 0)
				c.Assert(o.has("a"), qt.IsTrue)
				return
			}
			c.Assert(second.answer, qt.HasLen, 1)
			outcome := <-second.answer
			c.Assert(outcome.Kind, qt.Equals, job.Moved)
			c.Assert(outcome.Reason, qt.Equals, cell.ReasonNotRenewed)
		})
	}
}
