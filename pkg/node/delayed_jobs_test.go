package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/traffic"
	qt "github.com/frankban/quicktest"
)

// Guards against a second run beside a front that got the second sending of a job, which the network had held
// up, so that neither front had announced it when it came to the other one.
func TestADelayedJobJoinsTheOneOfAFrontThatHasNotAnnouncedIt(t *testing.T) {
	for _, isDelayed := range []bool{true, false} {
		t.Run(fmt.Sprint(isDelayed), func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			o := makeOwner(a, a.settings.Domain+"/1.0")
			second, _ := b.front.enter(submission(b))
			b.openJobTable.add(second.job)
			b.front.markFollowed(second)
			first := submission(a)
			first.IsDelayed = isDelayed
			answer := make(chan job.Outcome, 1)
			go func() { answer <- a.front.submit(context.Background(), first) }()
			eventually(c, func() bool { return a.front.openJob(joinID) != nil })
			if !isDelayed {
				eventually(c, func() bool {
					o.mu.Lock()
					defer o.mu.Unlock()
					return len(o.waiters[joinID]) > 0
				})
				a.front.openJob(joinID).cancel(errCancelled)
				<-answer
				return
			}
			eventually(c, func() bool {
				a.announceOpenJobs(a.Clock.Now())
				b.announceOpenJobs(b.Clock.Now())
				return waiters(b, second) == 2
			})
			b.front.end(second, job.Outcome{Kind: job.Completed})
			c.Assert((<-answer).Kind, qt.Equals, job.Completed)
		})
	}
}

// Guards against an unused connection that is taken for a request that was held up, and the other way round.
func TestForHowLongAConnectionWasOpenBeforeItsFirstRequest(t *testing.T) {
	const unused = 300 * time.Millisecond
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	openBefore := make(chan time.Duration, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { openBefore <- n.arrivalOf(r.Context()).openBefore })}
	n.configureFront(server)
	defer server.Close()
	go func() { _ = server.Serve(n.meter.Of(traffic.Callers).Listener(listener)) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	answers := bufio.NewReader(connection)
	for _, want := range []time.Duration{unused, 0} {
		time.Sleep(unused)
		_, err = fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close()
		got := <-openBefore
		c.Assert(got >= want && got < want+150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
	}
}
