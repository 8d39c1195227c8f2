// Package tables holds what the product asks of the platform's transactional
// tables for state of its own: rows of bytes in tables and parts, written under
// conditions. An adapter implements Store.
package tables

import (
	"context"
	"time"
)

// MostEntries is how many entries a transaction holds at most, conditions
// included, by the platform's limit.
const MostEntries = 100

// Row is a row of a table. Within a table and a part the key names it.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64 // rises with each transaction that writes the row
}

// Condition is the version that a row must have; 0 when it must be absent.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Transaction is written whole or not at all. All its entries lie in one part.
type Transaction struct {
	Part   string
	Expect []Condition
	Put    []Row       // their versions aren't read
	Remove []Condition // their versions aren't read
}

// Entries returns how many entries count towards MostEntries.
func (t *Transaction) Entries() int { return len(t.Expect) + len(t.Put) + len(t.Remove) }

// Result is the answer to a transaction.
type Result struct {
	Version   uint64        // of all rows written
	Now       time.Duration // the store's steady clock
	Conflicts []Row         // with an error of kind errkind.Conflict: the rows of Expect as they are; absent ones are left out
}

// Page is a piece of a part of a table, its keys in rising byte order.
type Page struct {
	Rows []Row
	More bool // further rows follow after the last one
	Now  time.Duration
}

// Store is the platform's table service. Implementations are safe for concurrent
// use. An error of kind errkind.PlatformMaybe says that a transaction may have been
// done, or may be done seconds later if its conditions still hold; one of kind
// errkind.PlatformDown that nothing was done.
type Store interface {
	// Commit writes a transaction. An error of kind errkind.Conflict says that a
	// condition doesn't hold and nothing was written.
	Commit(ctx context.Context, t Transaction) (Result, error)
	// Read returns the rows of a part from a key on, as many as an answer holds.
	Read(ctx context.Context, table, part, from string) (Page, error)
	// ReadRow returns one row, or false when it is absent.
	ReadRow(ctx context.Context, table, part, key string) (Row, bool, error)
}
