package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

// Record is the content of an open job's row. Job stays encoded: this package does not
// depend on its form.
type Record struct {
	ID         string
	Cell       string        // that runs the job
	From       string        // the cell that the job was moved from; empty if it was never moved
	AcceptedAt time.Duration // by the store's clock
	Epoch      int           // the highest epoch of a dispatch before the row was written
	Job        []byte
}

// End is the content of an ended job's row.
type End struct {
	State State
	Cell  string        // that ran the job
	At    time.Duration // by the store's clock
}

// Codec encodes and decodes the values of rows.
type Codec interface {
	EncodeRecord(record Record) []byte
	DecodeRecord(id string, value []byte) (Record, error)
	EncodeEnd(end End) []byte
	// DecodeEnd fails on a state that is not a final one of this build.
	DecodeEnd(value []byte) (End, error)
}

// Epochs of coordinators. A coordinator does not know how often an earlier one has
// dispatched a job, but none does so more often than once per epochInterval. The first
// epoch tells the owner that no part of the job has run. Only the coordinator that wrote
// the job's row may use it, and only right after the commit.
const (
	epochInterval = 100 * time.Millisecond
	firstEpoch    = 1
)

// EpochAt returns an epoch above all that any coordinator can have used for a job of the
// given age.
func (r *Record) EpochAt(age time.Duration) int {
	return max(r.Epoch, firstEpoch) + 1 + int(max(age, 0)/epochInterval)
}

// findRow returns the row of a table by its key.
func findRow(rows []tables.Row, table, key string) (tables.Row, bool) {
	for _, row := range rows {
		if row.Table == table && row.Key == key {
			return row, true
		}
	}
	return tables.Row{}, false
}
