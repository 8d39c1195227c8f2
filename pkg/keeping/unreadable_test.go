package keeping

import (
	"context"
	"math"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/tables"
	qt "github.com/frankban/quicktest"
)

// setRow replaces the rows of a job as another writer of the store does.
func (s *fakeStore) setRow(table, id string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := kept.PartOf(kept.PartitionOf(id))
	delete(s.rows, part+kept.TableOpen+"/"+id)
	delete(s.rows, part+kept.TableEnded+"/"+id)
	s.version++
	s.rows[part+table+"/"+id] = tables.Row{Table: table, Key: id, Value: value, Version: s.version}
}

// The answer about a job whose row cannot be decoded is never final, whichever host gives it.
func TestAnswersAboutUnreadableRows(t *testing.T) {
	laterState := encode(&peerpb.KeptEnd{State: uint32(kept.Cancelled) + 1, Cell: "x"})
	// The lowest eight bits are those of a state of this build.
	largeState := encode(&peerpb.KeptEnd{State: 256 + uint32(kept.Completed), Cell: "x"})
	encoded := func(steps ...*peerpb.StepSpec) []byte {
		return encode(&peerpb.KeptJob{Cell: "x", Job: encode(&peerpb.Dispatch{Id: "a", Steps: steps})})
	}
	rows := []struct {
		testName string
		table    string
		value    []byte
	}{
		{"the ended row is damaged", kept.TableEnded, []byte("?")},
		{"the ended row is empty", kept.TableEnded, nil},
		{"the ended row has the state of a later build", kept.TableEnded, laterState},
		{"the ended row has a large state number", kept.TableEnded, largeState},
		{"the open row is damaged", kept.TableOpen, []byte("?")},
		{"the open row has no steps", kept.TableOpen, encoded()},
		{"the open row has more tasks than fit into memory", kept.TableOpen, encoded(&peerpb.StepSpec{Count: math.MaxUint32})},
		{"the open row has a step after itself", kept.TableOpen, encoded(&peerpb.StepSpec{Count: 1, After: []uint32{0}})},
		{"the open row has a step after one that isn't there", kept.TableOpen, encoded(&peerpb.StepSpec{Count: 1, After: []uint32{math.MaxUint32}})},
		{"the open row has a need that is too large", kept.TableOpen, encoded(&peerpb.StepSpec{Count: 1, Cpu: math.MaxInt64})},
	}
	calls := []struct {
		testName string
		call     func(s *Service) kept.Answer
	}{
		{"state", func(s *Service) kept.Answer { return s.State(context.Background(), "a") }},
		{"cancel", func(s *Service) kept.Answer { return s.Cancel(context.Background(), "a") }},
		{"second submission", func(s *Service) kept.Answer { return s.Keep(context.Background(), testJob("a")) }},
		{"state asked by another host", func(s *Service) kept.Answer { return s.HandleState("a", false, 1) }},
		{"cancel by another host", func(s *Service) kept.Answer { return s.HandleState("a", true, 1) }},
	}
	for _, row := range rows {
		for _, call := range calls {
			t.Run(row.testName+"/"+call.testName, func(t *testing.T) {
				c := qt.New(t)
				host, store := newFakeHost(), newFakeStore()
				s := startService(t.Cleanup, host, store)
				c.Assert(s.Keep(context.Background(), testJob(samePartition("a"))), qt.Equals, accepted)
				within(c, host.dispatches)
				store.setRow(row.table, "a", row.value)
				for range 2 {
					answer := call.call(s)
					c.Assert(answer.Verdict, qt.Equals, kept.Unknown, qt.Commentf("%+v", answer))
					c.Assert(answer.RetryAfter > 0, qt.IsTrue)
				}
				c.Assert(s.State(context.Background(), "a").Verdict, qt.Equals, kept.Unknown)
				c.Assert(host.dispatches, qt.HasLen, 0)
				c.Assert(host.unreadable.Load(), qt.Equals, int32(1), qt.Commentf("counted once"))
			})
		}
	}
}

// A job that is followed here ends, and its owner stops it, once its ended row turns out to be
// unreadable. A repaired row is answered.
func TestAFollowedJobWithAnUnreadableEnd(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	dispatched := within(c, host.dispatches)
	store.setRow(kept.TableEnded, "a", []byte("?"))
	dispatched.end <- job.Outcome{Kind: job.Failed}
	c.Assert(within(c, host.notices), qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}, Cancelled: true})
	c.Assert(s.Open(), qt.Equals, 0)
	c.Assert(s.State(context.Background(), "a").Verdict, qt.Equals, kept.Unknown)
	store.setRow(kept.TableEnded, "a", codec{}.EncodeEnd(kept.End{State: kept.Completed, Cell: "x"}))
	c.Assert(s.State(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Completed})
	c.Assert(host.dispatches, qt.HasLen, 0)
}

// removeRows removes the rows of a job as another writer of the store does.
func (s *fakeStore) removeRows(id string) {
	s.setRow(kept.TableOpen, id, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, kept.PartOf(kept.PartitionOf(id))+kept.TableOpen+"/"+id)
}

// Removed rows do not show that a job was cancelled.
func TestAFollowedJobWhoseRowsAreRemoved(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	dispatched := within(c, host.dispatches)
	store.removeRows("a")
	dispatched.end <- job.Outcome{Kind: job.Moved, Reason: ReasonProgress, Started: true, Progress: []job.Progress{{Done: true}}}
	c.Assert(within(c, host.notices), qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}, Cancelled: true})
	c.Assert(s.State(context.Background(), "a").Verdict, qt.Equals, kept.Unknown)
	c.Assert(s.Cancel(context.Background(), "a").Verdict, qt.Equals, kept.Unknown)
	c.Assert(s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Unknown)
}

// A coordinator of a later build may answer a state that this build does not know.
func TestAStateThatAnotherHostCannotTellIsReadFromTheRows(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	host.coordinator = CoordinatorHost{Address: "10.0.0.1:1"}
	host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: kept.Accepted}, true }
	s := startService(t.Cleanup, host, store)
	store.setRow(kept.TableEnded, "a", encode(&peerpb.KeptEnd{State: uint32(kept.Cancelled) + 1, Cell: "x"}))
	c.Assert(s.State(context.Background(), "a").Verdict, qt.Equals, kept.Unknown)
	store.setRow(kept.TableEnded, "b", codec{}.EncodeEnd(kept.End{State: kept.Failed, Cell: "x"}))
	c.Assert(s.State(context.Background(), "b").State, qt.Equals, kept.Failed)
}

// A job that is followed here goes on and ends though another writer has damaged its open row.
func TestAFollowedJobWithADamagedOpenRow(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	dispatched := within(c, host.dispatches)
	store.setRow(kept.TableOpen, "a", []byte("?"))
	c.Assert(s.State(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Running})
	dispatched.end <- job.Outcome{Kind: job.Completed}
	eventually(c, s, "a", kept.Completed)
	next := startService(t.Cleanup, newFakeHost(), store)
	c.Assert(next.State(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Completed})
}
