package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
	qt "github.com/frankban/quicktest"
)

// All hosts are replaced one after another while callers submit through the library:
// every job completes and starts once. The notice must be longer than callers take to
// retry: an id whose primary and backup are both replaced has an unknown outcome.
func TestRollingReplacement(t *testing.T) {
	d := newDriver(t, 3)
	for _, s := range d.settings {
		s.LeaveNotice = time.Second
	}
	d.start().apply("")
	var entries []string
	for _, s := range d.settings {
		entries = append(entries, s.CallerAddress)
	}
	callers := client.New(client.Options{Entries: entries})
	var stop atomic.Bool
	var jobs atomic.Int64
	var wait sync.WaitGroup
	for caller := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; !stop.Load(); i++ {
				text := fmt.Sprintf("%d/%d", caller, i)
				payload, _ := json.Marshal(map[string]any{"ms": 1, "echo": text})
				result, err := callers.Submit(context.Background(), client.Job{Service: "desk", Team: "a", Deadline: eventuallyTimeout, Tasks: []json.RawMessage{payload, payload}})
				if err != nil {
					t.Errorf("job %s: %v", text, err)
					return
				}
				if string(result.Results[1]) != text {
					t.Errorf("job %s has the answer %q", text, result.Results)
				}
				jobs.Add(1)
			}
		}()
	}
	for _, name := range []string{"d1-1", "d1-2", "d1-3"} {
		before := jobs.Load()
		d.hosts[name].Stop()
		d.start(name)
		d.waitForLinks()
		d.eventually("jobs still complete", func() bool { return jobs.Load() > before+10 })
	}
	stop.Store(true)
	wait.Wait()
	d.assertNoDoubles()
	qt.Assert(t, d.ledger.Counters().Starts, qt.Equals, uint64(2*jobs.Load()))
}
