package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// followed is a table of the store that this node follows: it is read whole
// once, and by its changes from then on.
type followed struct {
	name     string
	read     func(ctx context.Context) (position uint64, err error)               // takes the whole table in
	await    func(ctx context.Context, after uint64) (position uint64, err error) // waits for changes and takes them in
	pause    func() time.Duration                                                 // between waits; nil for none
	passedOn func() bool                                                          // the table need not be followed now: a peer passes it on; nil for never
	known    func() uint64                                                        // the position of what a peer has passed on; nil for none
	fails    *atomic.Bool                                                         // whether the last call failed; nil when nobody asks
}

// isPassedOn reports whether the table need not be followed now.
func (t *followed) isPassedOn() bool { return t.passedOn != nil && t.passedOn() }

// recheckInterval is how often a node that need not follow a table looks whether
// that is still so.
const recheckInterval = 200 * time.Millisecond

// follower keeps up with a table.
type follower struct {
	node     *Node
	table    followed
	position uint64 // of the store's history up to which the table is known; 0 when it has to be read whole
	floor    uint64 // the history up to here is gone
	backoff  time.Duration
	down     bool
}

// follow keeps up with a table until ctx ends. Failures slow it down. Only lost
// history has the table read whole again.
func (n *Node) follow(ctx context.Context, table followed) {
	f := &follower{node: n, table: table, backoff: firstStoreBackoff}
	for ctx.Err() == nil {
		f.advance()
		if f.mayWait() {
			common.Sleep(ctx, recheckInterval)
			continue
		}
		next, err := f.ask(ctx)
		switch {
		case err == nil:
			f.succeeded(ctx, next)
		case f.mayWait():
			// The wait was ended for that.
		default:
			f.failed(ctx, err)
		}
	}
}

func (f *follower) mayWait() bool { return f.position > 0 && f.table.isPassedOn() }

// advance goes on from what a peer has passed on, where that is newer. A
// position whose history is gone is of no use.
func (f *follower) advance() {
	if f.table.known == nil {
		return
	}
	if known := f.table.known(); known > max(f.position, f.floor) {
		f.position = known
	}
}

// ask reads the table, or waits for its next change.
func (f *follower) ask(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	known := f.position > 0
	go f.endIdle(ctx, f.node.regained.wait(), known, cancel)
	if known {
		return f.table.await(ctx, f.position)
	}
	ctx, cancelRead := context.WithTimeout(ctx, wholeTimeout)
	defer cancelRead()
	return f.table.read(ctx)
}

// endIdle ends a call when a peer passes the table on from now on, or when the
// store answers again: a call that it swallowed while it was silent would never
// be answered. known tells that the table need not be read whole.
func (f *follower) endIdle(ctx context.Context, regained <-chan struct{}, known bool, cancel context.CancelFunc) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-regained:
			cancel()
			return
		case <-ticker.C:
			if known && f.table.isPassedOn() {
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
		common.Sleep(ctx, f.table.pause())
	}
	f.position = next
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
	if f.table.fails != nil {
		f.table.fails.Store(down)
	}
}
