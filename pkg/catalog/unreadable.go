package catalog

import (
	"net/netip"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// Other writers share the store's tables. A row that can't be read, or that describes
// nothing usable, is treated as absent, and the other rows stay in use.

// Reason says why a row is unreadable. Its text is used in logs and metrics.
type Reason string

// Reasons why a row is unreadable. Readable means that it isn't.
const (
	Readable       Reason = ""
	Damaged        Reason = "damaged"     // the row has no valid envelope around its value
	NoDocument     Reason = "no_document" // the value can't be parsed
	WrongType      Reason = "wrong_type"  // a field has a value of the wrong type
	WrongKey       Reason = "wrong_key"   // the key is not a valid id
	NoDomain       Reason = "no_domain"   // the failure domain is missing
	WrongAddress   Reason = "address"     // not an IP address with a port
	WrongCapacity  Reason = "capacity"    // no capacity, or more than a machine can have
	WrongClock     Reason = "clock"       // the clock or the start of the incarnation is out of range
	UnknownState   Reason = "state"       // an unknown state
	UnknownService Reason = "service"     // no service, or one that no configuration names
	HiddenRun      Reason = "hidden_run"  // an unreadable entry of a hold response that may stand for a run
	HiddenEnd      Reason = "hidden_end"  // an unreadable entry of a hold response that may stand for the end of a run
)

// Unreadable is a row that is treated as absent.
type Unreadable struct {
	Key     string
	Reason  Reason
	Content uint64 // a checksum of the value, to detect changes
}

// Upper bounds for one machine: a million cores, a petabyte, a million accelerators.
// Sums over a million executors don't overflow an int64.
const (
	maxCPU      = 1_000_000_000 // thousandths of a core
	maxMemoryMB = 1_000_000_000
	maxGPU      = 1_000_000
)

// MaxStartedAt is the latest possible start of an incarnation, in Unix milliseconds: the end of
// the year 9999.
const MaxStartedAt = 253_402_300_799_999

// Check returns why an executor can't be called, or Readable.
func (e *Executor) Check() Reason {
	switch {
	case !isID(e.ID):
		return WrongKey
	case e.Service == "":
		return UnknownService
	case e.Domain == "":
		return NoDomain
	case !IsAddress(e.Address):
		return WrongAddress
	case !isPlausibleCapacity(e.Capacity):
		return WrongCapacity
	case e.Clock < 0 || e.Clock >= common.MaxTime || e.StartedAt < 0 || e.StartedAt > MaxStartedAt:
		return WrongClock
	}
	return Readable
}

// checkRelayed is Check for an executor that another host has relayed. Such an executor
// may be withheld, and then has no capacity.
func (e *Executor) checkRelayed() Reason {
	if reason := e.Check(); reason != WrongCapacity || e.TakesWork() {
		return reason
	}
	return Readable
}

// Upper bounds for a host's configured capacity.
const (
	maxHostCPU = 1_024_000 // thousandths of a core
	maxMbps    = 1e6
)

// CheckHost returns why a host's row can't be used, or Readable. A capacity of 0 is
// unknown.
func CheckHost(name, domain, address string, cpu int, linkMbps float64) Reason {
	switch {
	case name == "":
		return WrongKey
	case domain == "":
		return NoDomain
	case !IsAddress(address):
		return WrongAddress
	case cpu < 0 || cpu > maxHostCPU || linkMbps < 0 || linkMbps > maxMbps:
		return WrongCapacity
	}
	return Readable
}

// isID reports whether a key is a valid id: visible ASCII, since ids are sent in headers.
func isID(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return key != ""
}

// IsAddress reports whether a text is an IP address and port that one can connect to.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0 && !address.Addr().IsUnspecified()
}

// isPlausibleCapacity reports whether a machine can have this capacity. CPU must be
// positive, since no task fits without it.
func isPlausibleCapacity(c job.Resources) bool {
	return c.CPU > 0 && c.CPU <= maxCPU && c.MemoryMB >= 0 && c.MemoryMB <= maxMemoryMB && c.GPU >= 0 && c.GPU <= maxGPU
}

// Withheld returns a copy of the executor without capacity, for when its row can't be
// read any more or has vanished. It gets no new work, but stays listed with its address, so that this
// owner and the next can renew the leases of its runs until they end. Hosts relay it
// like any other executor.
func (e Executor) Withheld() Executor {
	e.Capacity = job.Resources{}
	return e
}

// TakesWork reports whether the executor has any capacity. A withheld one has none.
func (e *Executor) TakesWork() bool { return e.Capacity != job.Resources{} }
