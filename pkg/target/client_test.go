package target_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/retry"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
	"github.com/foxcroft/foxcroft/pkg/target"
	qt "github.com/frankban/quicktest"
)

// startExecutor serves an executor on a free loopback port.
func startExecutor(t *testing.T, slots int) (*targetd.Executor, *targetd.Ledger, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ledger := targetd.NewLedger()
	executor := targetd.NewExecutor(slots, 0, ledger)
	go func() { _ = executor.Serve(listener, 64) }()
	t.Cleanup(executor.Close)
	return executor, ledger, listener.Addr().String()
}

func TestRun(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   targetd.Faults
		slots    int
		payload  string
		withdraw bool
		kind     errkind.Kind
		progress retry.Progress
		leaving  bool
		starts   uint64
	}{
		{"served", targetd.Faults{}, 1, `{"echo":"ochre"}`, false, "", 0, false, 1},
		{"the task fails", targetd.Faults{}, 1, `{"fail":true}`, false, errkind.TaskFailed, retry.MayStarted, false, 1},
		{"refused", targetd.Faults{Refuse: true}, 1, `{}`, false, errkind.NoTarget, retry.RefusedIdle, false, 0},
		{"full", targetd.Faults{}, 0, `{}`, false, errkind.NoTarget, retry.RefusedIdle, false, 0},
		{"leaving", targetd.Faults{Leaving: true}, 1, `{}`, false, errkind.NoTarget, retry.RefusedIdle, true, 0},
		{"another attempt's answer", targetd.Faults{Cross: true}, 1, `{}`, false, errkind.TargetLost, retry.MayStarted, false, 1},
		{"hangs", targetd.Faults{Hang: true}, 1, `{}`, false, errkind.TargetLost, retry.MayStarted, false, 1},
		{"withdrawn before the write", targetd.Faults{}, 1, `{}`, true, errkind.TargetLost, retry.NotWritten, false, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			executor, ledger, address := startExecutor(t, s.slots)
			executor.SetFaults(s.faults)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if s.faults.Hang {
				cancelOnceStarted(ledger, cancel)
			}
			result := target.NewClient("test", 4).Run(ctx, target.Attempt{
				Address: address, Task: "h~part/0", Payload: []byte(s.payload), MayWrite: func() bool { return !s.withdraw },
			})
			qt.Assert(t, ledger.Counters().Starts, qt.Equals, s.starts)
			if s.kind == "" {
				qt.Assert(t, result.Err == nil, qt.IsTrue)
				qt.Assert(t, string(result.Output), qt.Equals, "ochre")
				return
			}
			qt.Assert(t, result.Err.Kind, qt.Equals, s.kind)
			qt.Assert(t, result.Progress, qt.Equals, s.progress)
			qt.Assert(t, result.Leaving, qt.Equals, s.leaving)
		})
	}
}

func cancelOnceStarted(ledger *targetd.Ledger, cancel func()) {
	go func() {
		for ledger.Counters().Starts == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
}

func TestNotDialled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	result := target.NewClient("test", 4).Run(context.Background(), target.Attempt{Address: address, Task: "h~p/0", Payload: []byte("{}")})
	qt.Assert(t, result.Progress.MayRetry(), qt.IsTrue)
}

// TestTimedOutConnectionIsNotReused: the answer of an attempt that was given
// up comes late, on a connection that nobody reads any more.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	var calls, connections atomic.Int64
	server := &http.Server{
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
			if calls.Add(1) == 1 {
				<-release
				_, _ = w.Write([]byte("late"))
				return
			}
			_, _ = w.Write([]byte("right"))
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := target.NewClient("test", 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	attempt := target.Attempt{Address: listener.Addr().String(), Task: "h~p/0", Payload: []byte("{}")}
	qt.Assert(t, client.Run(ctx, attempt).Progress, qt.Equals, retry.MayStarted)
	close(release)
	result := client.Run(context.Background(), attempt)
	qt.Assert(t, result.Err == nil, qt.IsTrue)
	qt.Assert(t, string(result.Output), qt.Equals, "right")
	qt.Assert(t, connections.Load(), qt.Equals, int64(2))
}
