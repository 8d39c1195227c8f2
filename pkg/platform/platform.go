// Package platform is the interface to the platform's services: a transactional table,
// an object store and a list of hosts that may be out of date. Durable state and
// agreement between hosts rely on it.
package platform

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Row is a row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // counts the writes of this row, from 1
}

// Write is one write of a transaction.
type Write struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value"`
	Expect  uint64        `json:"expect"`            // required version of the row; 0 means that the row must not exist
	Expires time.Duration `json:"expires,omitempty"` // the platform may delete the row after this time; 0 keeps it
}

// Host is a host in the platform's list.
type Host struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	PeerAddress string `json:"peer_address,omitempty"` // of an entry host
	Executor    string `json:"executor,omitempty"`     // address of the executor on a worker
	Leaving     bool   `json:"leaving"`
}

// Table is the transactional table. Errors have these kinds: PlatformDown, the call
// had no effect, because the service refused it or was not reached; PlatformMaybe, the
// answer was lost or inconclusive, and a write may have taken effect; Conflict, a row's
// version differs from the expected one; NotFound, a read found no row.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit does all writes or none. It fails with Conflict when a row's
	// version is not the expected one.
	Commit(ctx context.Context, writes []Write) error
}

// Objects is the object store. Objects are named by their digest and never change, so
// PutObject is idempotent.
type Objects interface {
	PutObject(ctx context.Context, digest string, body []byte) error
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// HostList is the list of hosts, which may be out of date, wrong or unavailable.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Platform is all of the platform's services.
type Platform interface {
	Table
	Objects
	HostList
}

// Clients registers the implementations, by the value of the settings key client of
// [platform]. Each makes a client for an address.
var Clients = kernel.NewRegistry[func(address string) Platform]("platform client")
