// Package tables defines the interface to the platform's transactional tables:
// rows of bytes, grouped into tables and parts, that are written under conditions.
// An adapter implements Store.
package tables

import (
	"context"
	"time"
)

// MostEntries is the platform's limit on the entries of a transaction, conditions
// included.
const MostEntries = 100

// Row is a row of a table. Its key is unique within a table and part.
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

// Transaction is written atomically. All its entries are in one part.
type Transaction struct {
	Part   string
	Expect []Condition
	Put    []Row       // versions are ignored
	Remove []Condition // versions are ignored
}

// Entries returns how many entries count towards MostEntries.
func (t *Transaction) Entries() int { return len(t.Expect) + len(t.Put) + len(t.Remove) }

// Result is the answer to a transaction.
type Result struct {
	Version   uint64        // of all rows written
	Now       time.Duration // the store's steady clock
	Conflicts []Row         // with an error of kind errkind.Conflict: the current rows of Expect, without absent ones
}

// Page is a range of the rows of a part of a table, in ascending byte order of keys.
type Page struct {
	Rows []Row
	More bool // the part has further rows
	Now  time.Duration
}

// Store is the platform's table service. Implementations are safe for concurrent
// use. An error of kind errkind.PlatformMaybe means that a transaction may have been
// committed, or may be committed seconds later if its conditions still hold; one of
// kind errkind.PlatformDown means that nothing was committed.
type Store interface {
	// Commit writes a transaction. An error of kind errkind.Conflict means that a
	// condition doesn't hold and nothing was written.
	Commit(ctx context.Context, t Transaction) (Result, error)
	// Read returns a page of the rows of a part, starting at the key from.
	Read(ctx context.Context, table, part, from string) (Page, error)
	// ReadRow returns a row, or false when it is absent.
	ReadRow(ctx context.Context, table, part, key string) (Row, bool, error)
}
