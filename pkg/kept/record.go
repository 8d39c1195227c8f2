package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

// Record is an open job as its row tells it. The job itself stays in the form in
// which the row holds it: nothing here depends on it.
type Record struct {
	ID         string
	Cell       string        // that runs it
	From       string        // the cell that it was moved from; empty when it never was
	AcceptedAt time.Duration // by the store's clock
	Epoch      int           // the highest with which it may have been handed to an owner when the row was written
	Job        []byte
}

// End is the end of a job as its row tells it.
type End struct {
	State State
	Cell  string        // that ran it
	At    time.Duration // by the store's clock
}

// Codec reads and writes the values of rows.
type Codec interface {
	EncodeRecord(record Record) []byte
	DecodeRecord(id string, value []byte) (Record, error)
	EncodeEnd(end End) []byte
	DecodeEnd(value []byte) (End, error)
}

// Spacing of the epochs of keepers, who can't know how often an earlier one has
// handed a job to owners: not more often than every epochTime. The first epoch of a
// job tells its owner that nothing of it has run, so only the keeper that wrote its
// row may use it, and only at once.
const (
	epochTime  = 100 * time.Millisecond
	firstEpoch = 1
)

// EpochAt returns an epoch above all with which a job of some age can have been
// handed to an owner, by another keeper or by this one.
func (r *Record) EpochAt(age time.Duration) int {
	return max(r.Epoch, firstEpoch) + 1 + int(max(age, 0)/epochTime)
}

// rowIn returns a row of a table by its key.
func rowIn(rows []tables.Row, table, key string) (tables.Row, bool) {
	for _, row := range rows {
		if row.Table == table && row.Key == key {
			return row, true
		}
	}
	return tables.Row{}, false
}
