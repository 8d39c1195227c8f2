package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// followedTable is a table of the store that this node keeps a copy of: it is read in full
// once, and by its changes from then on.
type followedTable struct {
	name            string
	read            func(ctx context.Context) (position uint64, err error)               // reads and applies the full table
	await           func(ctx context.Context, after uint64) (position uint64, err error) // waits for changes and applies them
	pause           func() time.Duration                                                 // between waits; nil for none
	relayed         func() bool                                                          // a peer relays the table, which need not be followed meanwhile; nil for never
	relayedPosition func() uint64                                                        // the position up to which peers have relayed the table; nil if they don't
	failing         *atomic.Bool                                                         // set to whether the last call failed; nil if not needed
}

func (t *followedTable) isRelayed() bool { return t.relayed != nil && t.relayed() }

// recheckInterval is how often a node checks whether a table is relayed to it.
const recheckInterval = 200 * time.Millisecond

// maxPauseStep is how late a node notices at most that a table's pause has become shorter.
const maxPauseStep = 300 * time.Millisecond

// follower keeps a node's copy of a table up to date.
type follower struct {
	node     *Node
	table    followedTable
	position uint64 // in the store's history up to which the table is known; 0 when it has to be read in full
	floor    uint64 // the store has removed the history up to here
	backoff  time.Duration
	down     bool
}

// follow keeps the copy of a table up to date until ctx ends, with backoff after failures.
// The table is read in full again only when the store no longer has the history.
func (n *Node) follow(ctx context.Context, table followedTable) {
	f := &follower{node: n, table: table, backoff: firstStoreBackoff}
	for ctx.Err() == nil {
		f.advance()
		if f.mayIdle() {
			common.Sleep(ctx, recheckInterval)
			continue
		}
		next, err := f.ask(ctx)
		switch {
		case err == nil:
			f.succeeded(ctx, next)
		case f.mayIdle():
			// cancelIdleCall has ended the call for this reason.
		default:
			f.failed(ctx, err)
		}
	}
}

func (f *follower) mayIdle() bool { return f.position > 0 && f.table.isRelayed() }

// advance moves the position to that of the relayed table if it is newer, and if the store
// still has the history from there.
func (f *follower) advance() {
	if f.table.relayedPosition == nil {
		return
	}
	if known := f.table.relayedPosition(); known > max(f.position, f.floor) {
		f.position = known
	}
}

// ask reads the full table, or waits for its next change.
func (f *follower) ask(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	known := f.position > 0
	go f.cancelIdleCall(ctx, f.node.storeRecovered.wait(), known, cancel)
	if known {
		return f.table.await(ctx, f.position)
	}
	ctx, cancelRead := context.WithTimeout(ctx, fullReadTimeout)
	defer cancelRead()
	return f.table.read(ctx)
}

// cancelIdleCall cancels a call when a peer begins to relay the table, or when the store
// responds again after a failure: it may never answer a call that it received before.
// known reports that the table need not be read in full.
func (f *follower) cancelIdleCall(ctx context.Context, storeRecovered <-chan struct{}, known bool, cancel context.CancelFunc) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-storeRecovered:
			cancel()
			return
		case <-ticker.C:
			if known && f.table.isRelayed() {
				cancel()
				return
			}
		}
	}
}

func (f *follower) succeeded(ctx context.Context, next uint64) {
	if f.down {
		f.node.Log.Info("store_regained", "news", f.table.name)
	}
	f.setDown(false)
	f.backoff = firstStoreBackoff
	if next != f.position && f.table.pause != nil {
		f.sleepForPause(ctx)
	}
	f.position = next
}

// sleepForPause sleeps for the table's pause, which may become shorter meanwhile.
func (f *follower) sleepForPause(ctx context.Context) {
	began := f.node.Clock.Now()
	for {
		left := began + f.table.pause() - f.node.Clock.Now()
		if left <= 0 || !common.Sleep(ctx, min(left, maxPauseStep)) {
			return
		}
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	f.node.metrics.StoreFailed(f.table.name)
	if !f.down {
		f.node.Log.Warn("store_lost", "news", f.table.name, "error", err.Error())
	}
	f.setDown(true)
	if errkind.Of(err) == errkind.NotFound {
		f.floor = max(f.floor, f.position)
		f.position = 0
	}
	common.Sleep(ctx, common.Jitter(f.backoff, common.Unit()))
	f.backoff = min(2*f.backoff, lastStoreBackoff)
}

func (f *follower) setDown(down bool) {
	f.down = down
	if f.table.failing != nil {
		f.table.failing.Store(down)
	}
}
