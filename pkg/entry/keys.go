package entry

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/platform"
)

const (
	keyPrefix    = "key/"
	maxKeyBytes  = 128
	keyBatchWait = 10 * time.Millisecond // how long a key waits to be batched
	keyBatchMax  = 256                   // keys in a transaction
	keyTries     = 5
	keyTimeout   = 3 * time.Second
	keyTryPause  = 100 * time.Millisecond
)

// keys binds plain idempotency keys to ids in the platform's table. The first binding
// of a key is final; a submission under the key then has the id's guarantees. Keys that
// arrive at about the same time share a transaction.
type keys struct {
	*common.Common
	table  platform.Table
	expiry time.Duration
	queue  chan *binding
}

// binding is a key that waits to be bound.
type binding struct {
	row  string
	id   once.ID
	done chan bindResult
}

type bindResult struct {
	id  once.ID
	err error
}

func newKeys(c *common.Common, table platform.Table, expiry time.Duration) *keys {
	return &keys{Common: c, table: table, expiry: expiry, queue: make(chan *binding, keyBatchMax)}
}

// bind returns the id to which a key is bound: fresh, or that of an earlier binding.
// After an error it is unknown whether a job ran under the key.
func (k *keys) bind(ctx context.Context, labels metrics.Labels, key string, fresh once.ID) (once.ID, error) {
	if len(key) > maxKeyBytes {
		return once.ID{}, errkind.New(errkind.BadRequest, "shorten the key", "a key of %d bytes exceeds %d", len(key), maxKeyBytes)
	}
	b := &binding{
		row:  keyPrefix + labels.Service + "/" + labels.Team + "/" + key,
		id:   fresh,
		done: make(chan bindResult, 1),
	}
	select {
	case k.queue <- b:
	case <-ctx.Done():
		return once.ID{}, errkind.Wrap(ctx.Err(), errkind.PlatformDown, "submit the same key again", "the key was not bound")
	}
	select {
	case result := <-b.done:
		return result.id, result.err
	case <-ctx.Done():
		return once.ID{}, errkind.Wrap(ctx.Err(), errkind.PlatformMaybe, "submit the same key again", "the key may not be bound")
	}
}

// run binds the queued keys in batches until ctx ends.
func (k *keys) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.queue:
			k.bindAll(ctx, k.gather(first))
		}
	}
}

// gather collects the bindings that arrive within keyBatchWait, up to keyBatchMax.
func (k *keys) gather(first *binding) []*binding {
	batch := []*binding{first}
	timer := time.NewTimer(keyBatchWait)
	defer timer.Stop()
	for len(batch) < keyBatchMax {
		select {
		case b := <-k.queue:
			batch = append(batch, b)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (k *keys) bindAll(ctx context.Context, batch []*binding) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	var err error
	for tries := 0; tries < keyTries && len(batch) > 0 && ctx.Err() == nil; tries++ {
		if tries > 0 {
			common.Sleep(ctx, common.Jitter(keyTryPause, common.Unit()))
		}
		unique := firstOfEachRow(batch)
		if err = k.commit(ctx, unique); err == nil {
			batch = resolveBound(batch, unique)
			continue
		}
		batch = k.readBack(ctx, batch)
	}
	for _, b := range batch {
		b.done <- bindResult{err: unbound(err)}
	}
}

func (k *keys) commit(ctx context.Context, batch []*binding) error {
	writes := make([]platform.Write, len(batch))
	for i, b := range batch {
		writes[i] = platform.Write{Key: b.row, Value: []byte(b.id.String()), Expires: k.expiry}
	}
	return k.table.Commit(ctx, writes)
}

func firstOfEachRow(batch []*binding) []*binding {
	seen := map[string]bool{}
	var unique []*binding
	for _, b := range batch {
		if !seen[b.row] {
			seen[b.row] = true
			unique = append(unique, b)
		}
	}
	return unique
}

// resolveBound resolves the bindings that a transaction made, and the other bindings of
// the same rows in its batch.
func resolveBound(batch, unique []*binding) []*binding {
	bound := map[string]once.ID{}
	for _, b := range unique {
		bound[b.row] = b.id
	}
	for _, b := range batch {
		b.done <- bindResult{id: bound[b.row]}
	}
	return nil
}

// readBack resolves the bindings whose rows exist, whichever host wrote them, and
// returns the others. It is called after a conflict and after a lost answer.
func (k *keys) readBack(ctx context.Context, batch []*binding) []*binding {
	var left []*binding
	for _, b := range batch {
		row, err := k.table.Get(ctx, b.row)
		if err != nil {
			left = append(left, b)
			continue
		}
		b.done <- boundBy(row)
	}
	return left
}

// boundBy returns the id in an existing row. If the row can't be read, the key is bound
// nevertheless and its job may have run, so the error is not a refusal.
func boundBy(row platform.Row) bindResult {
	id, err := once.ParseID(string(row.Value))
	if err != nil {
		err = errkind.Wrap(err, errkind.Internal, "look at the row at the platform; its job may have run", "the id of row %s cannot be read", row.Key)
	}
	return bindResult{id: id, err: err}
}

func unbound(cause error) error {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	err := errkind.Wrap(cause, errkind.PlatformMaybe, "submit the same key again, or use an id with a home, which needs no platform", "the key could not be bound to an id")
	err.RetryAfter = time.Second
	return err
}
