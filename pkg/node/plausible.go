package node

import (
	"net"
	"slices"
	"strconv"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// Bounds of what other hosts report. What is beyond them is ignored: a host that took it over
// could not go back.
const (
	maxPosition = 1 << 53 // in the store's history
	maxToken    = 1 << 62 // of a claim; higher ones may still be made
	maxLoad     = 1 << 53 // of a cell; sums over all cells don't overflow
)

// isPlausible reports whether the store can have reached a position in its history.
func isPlausible(position uint64) bool { return position <= maxPosition }

func hasPlausiblePositions(m *peerpb.Snapshot) bool {
	return isPlausible(m.GetRevision()) && isPlausible(m.GetSince()) && isPlausible(m.GetPosition())
}

func isPlausibleClaim(m *peerpb.CellLoad) bool { return m.Cell != "" && m.Token <= maxToken }

func plausibleLoad(n int64) int64 { return max(0, min(n, maxLoad)) }

// dialable returns the addresses that one can connect to, except own.
func dialable(addresses []string, own string) []string {
	return slices.DeleteFunc(excludeAddress(addresses, own), func(address string) bool { return !isDialable(address) })
}

// isDialable reports whether a text is a host and a port.
func isDialable(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
