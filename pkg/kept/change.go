package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

// changeKind tells changes of a job's rows apart.
type changeKind uint8

const (
	accept changeKind = iota // the job is taken in
	end                      // it leaves the open jobs for the ended ones
	move                     // another cell is to run it
)

// change is a change of one job's rows. It holds the conditions for both of them,
// so that a refusal tells the job's whole state, and a change that is carried out
// late can't undo what came after it.
type change struct {
	kind    changeKind
	id      string
	version uint64 // that the row of the open job must have; 0 for absent
	record  Record // of accept and move
	state   State  // of end
	cell    string // likewise
}

// conditions returns what must hold for the change.
func (c *change) conditions() []tables.Condition {
	return []tables.Condition{{Table: TableOpen, Key: c.id, Version: c.version}, {Table: TableEnded, Key: c.id}}
}

// entries returns how many entries of a transaction the change takes.
func (c *change) entries() int {
	if c.kind == end {
		return 4 // two conditions, a row put, one removed
	}
	return 3
}

// addTo puts the change into a transaction.
func (c *change) addTo(t *tables.Transaction, codec Codec, at time.Duration) {
	t.Expect = append(t.Expect, c.conditions()...)
	if c.kind != end {
		t.Put = append(t.Put, tables.Row{Table: TableOpen, Key: c.id, Value: codec.EncodeRecord(c.record)})
		return
	}
	t.Remove = append(t.Remove, tables.Condition{Table: TableOpen, Key: c.id})
	t.Put = append(t.Put, tables.Row{Table: TableEnded, Key: c.id, Value: codec.EncodeEnd(End{State: c.state, Cell: c.cell, At: at})})
}

// refusedBy reports whether the rows as they are keep the change from being made.
func (c *change) refusedBy(rows []tables.Row) bool {
	open, _ := rowIn(rows, TableOpen, c.id)
	_, ended := rowIn(rows, TableEnded, c.id)
	return ended || open.Version != c.version
}
