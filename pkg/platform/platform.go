// Package platform is the interface to the platform's services: a
// transactional table, an object store and a lagging list of hosts. What has
// to last or be agreed goes through it.
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
	Expect  uint64        `json:"expect"`            // the row's version must be this; 0 means that there is no row
	Expires time.Duration `json:"expires,omitempty"` // the platform may drop the row after it; 0 keeps it
}

// Host is a host in the platform's list.
type Host struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	PeerAddress string `json:"peer_address,omitempty"` // of an entry host
	Executor    string `json:"executor,omitempty"`     // address of the executor on a worker
	Leaving     bool   `json:"leaving"`
}

// Table is the transactional table. Errors have these kinds: PlatformDown,
// the call had no effect, as the service said or as it was never reached;
// PlatformMaybe, the answer was lost or doesn't say, and a write may have taken
// effect; Conflict, an expected version differs; NotFound, of reads.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit does all writes or none. It fails with Conflict when a row's
	// version is not the expected one.
	Commit(ctx context.Context, writes []Write) error
}

// Objects is the object store. Objects are named by their digest and never
// change, so putting one again does no harm.
type Objects interface {
	PutObject(ctx context.Context, digest string, body []byte) error
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// HostList is the list of hosts, which may be old, wrong or not to be had.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Platform is all of the platform's services.
type Platform interface {
	Table
	Objects
	HostList
}

// Clients are the implementations that there are, named by the settings key
// client of [platform]. Each makes a client for an address.
var Clients = kernel.NewRegistry[func(address string) Platform]("platform client")
