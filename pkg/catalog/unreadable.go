package catalog

import (
	"net/netip"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// Other writers share the store's tables. A row that can't be read, or that names
// nothing that could be used, counts as if it weren't there, and the other rows hold.

// Reason says what is wrong with a row. Its text stands in logs and metrics.
type Reason string

// What may be wrong with a row. Readable is that nothing is.
const (
	Readable       Reason = ""
	Damaged        Reason = "damaged"     // not a row, or its value can't be taken out of it
	NoDocument     Reason = "no_document" // its value can't be parsed
	WrongType      Reason = "wrong_type"  // a field holds another type of value than it should
	WrongKey       Reason = "wrong_key"   // the key can't be the id of anything
	NoDomain       Reason = "no_domain"   // no failure domain is named
	WrongAddress   Reason = "address"     // it isn't an IP address with a port
	WrongCapacity  Reason = "capacity"    // no room, or more than a machine can have
	UnknownState   Reason = "state"       // a state that isn't known
	UnknownService Reason = "service"     // no service, or one that no configuration names
	HiddenRun      Reason = "hidden_run"  // an entry of an executor's answer that may hide a run
	HiddenEnd      Reason = "hidden_end"  // the same for the end of a run
)

// Unreadable is a row that counts as if it weren't there.
type Unreadable struct {
	Key     string
	Reason  Reason
	Content uint64 // a checksum of the value, by which a change is told
}

// Limits of what one machine can have: a million cores, a petabyte, a million
// accelerators. No machine comes near, and sums over a million executors stay far from
// overflow.
const (
	mostCPU      = 1_000_000_000 // thousandths of a core
	mostMemoryMB = 1_000_000_000
	mostGPU      = 1_000_000
)

// Check returns what keeps an executor from being called, or Readable.
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
	case !fitsAMachine(e.Capacity):
		return WrongCapacity
	}
	return Readable
}

// checkPassed is Check for an executor that another host has passed on, and may have
// withheld.
func (e *Executor) checkPassed() Reason {
	if reason := e.Check(); reason != WrongCapacity || e.TakesWork() {
		return reason
	}
	return Readable
}

// The most that a host of this system can be set to have.
const (
	mostHostCPU = 1_024_000 // thousandths of a core
	mostMbps    = 1e6
)

// CheckHost returns what keeps a host of this system from being counted on by its row,
// or Readable. A capacity of 0 isn't known.
func CheckHost(name, domain, address string, cpu int, linkMbps float64) Reason {
	switch {
	case name == "":
		return WrongKey
	case domain == "":
		return NoDomain
	case !IsAddress(address):
		return WrongAddress
	case cpu < 0 || cpu > mostHostCPU || linkMbps < 0 || linkMbps > mostMbps:
		return WrongCapacity
	}
	return Readable
}

// isID reports whether a key can be an id, which calls carry in a header: visible ASCII.
func isID(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return key != ""
}

// IsAddress reports whether a text is an IP address with a port that can be called.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0 && !address.Addr().IsUnspecified()
}

// fitsAMachine reports whether a machine can have such a capacity. Without processor
// room nothing fits.
func fitsAMachine(c job.Resources) bool {
	return c.CPU > 0 && c.CPU <= mostCPU && c.MemoryMB >= 0 && c.MemoryMB <= mostMemoryMB && c.GPU >= 0 && c.GPU <= mostGPU
}

// Withheld returns an executor whose row can't be read any more, as it was read last
// but without room: it gets no work, while its runs are held to their ends, by the next
// owner too, who finds them by its address. Hosts pass it on like any other.
func (e Executor) Withheld() Executor {
	e.Capacity = job.Resources{}
	return e
}

// TakesWork reports whether the executor has room at all. One that is withheld hasn't.
func (e *Executor) TakesWork() bool { return e.Capacity != job.Resources{} }
