package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
)

// verificationTimeout bounds the reading of the rows of one job.
const verificationTimeout = time.Second

// readEnds reads the rows of jobs and applies what they hold. It stops when the store doesn't answer: the cell
// asks for the others again.
func (o *owner) readEnds(ids []string) {
	defer o.do(func(*cell.Cell, time.Duration) { o.kept.verifying = false })
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(context.Background(), verificationTimeout)
		stored, err := o.node.keeping.StoredEnds(ctx, id, o.cell)
		cancel()
		if err != nil {
			o.node.Log.Warn("ends_not_verified", "cell", o.cell, "job", id, "error", err.Error())
			return
		}
		o.do(func(state *cell.Cell, now time.Duration) { state.EndsVerified(id, stored, now) })
	}
}
