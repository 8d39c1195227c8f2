package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

// changeKind is the kind of a change to a job's rows.
type changeKind uint8

const (
	accept changeKind = iota // insert the row of an accepted job
	end                      // replace the open row by an ended row
	move                     // rewrite the open row: another cell runs the job, or its progress is saved
)

// change is a change to the rows of one job. Its conditions cover both the open and the
// ended row, so that a conflict returns the full state of the job, and a change that the
// store applies late cannot overwrite a later one.
type change struct {
	kind    changeKind
	id      string
	version uint64 // that the open row must have; 0 for absent
	record  Record // of accept and move
	state   State  // of end
	cell    string // of end
}

// conditions returns the row versions that the change requires.
func (c *change) conditions() []tables.Condition {
	return []tables.Condition{{Table: TableOpen, Key: c.id, Version: c.version}, {Table: TableEnded, Key: c.id}}
}

// entries returns the number of transaction entries that the change needs.
func (c *change) entries() int {
	if c.kind == end {
		return 4 // two conditions, one put, one removal
	}
	return 3
}

// addTo adds the change to a transaction.
func (c *change) addTo(t *tables.Transaction, codec Codec, at time.Duration) {
	t.Expect = append(t.Expect, c.conditions()...)
	if c.kind != end {
		t.Put = append(t.Put, tables.Row{Table: TableOpen, Key: c.id, Value: codec.EncodeRecord(c.record)})
		return
	}
	t.Remove = append(t.Remove, tables.Condition{Table: TableOpen, Key: c.id})
	t.Put = append(t.Put, tables.Row{Table: TableEnded, Key: c.id, Value: codec.EncodeEnd(End{State: c.state, Cell: c.cell, At: at})})
}

// conflictsWith reports whether the job's current rows violate the conditions of the
// change.
func (c *change) conflictsWith(rows []tables.Row) bool {
	open, _ := findRow(rows, TableOpen, c.id)
	_, ended := findRow(rows, TableEnded, c.id)
	return ended || open.Version != c.version
}
