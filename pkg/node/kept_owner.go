package node

import "github.com/foxcroft/foxcroft/pkg/peerpb"

// told takes what stands in the rows of kept jobs, and returns the moved ones that run
// here all the same.
func (o *owner) told(m *peerpb.Noted) []string {
	return nil
}
