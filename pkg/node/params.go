package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/settings"
)

// Callers submit a job again ResubmitAfter after their connection has broken.
// The job's lease at its owner ensures that no run of the first submission is alive then,
// whichever hosts have failed. These values make the runs end earlier than that after the
// failure of a single host, to free the capacity that they use.
const (
	leaseShare   = 0.77 // of ResubmitAfter, for leases at executors that a failed owner has granted
	takeoverTime = 200 * time.Millisecond
)

// cellParams returns the parameters of this node's cells. For all settings, these hold:
// JobLease + StopTime < ResubmitAfter, Lease < ResubmitAfter, and
// SuspectAfter + takeoverTime + OrphanGrace + StopTime <= ResubmitAfter.
func (n *Node) cellParams() cell.Params {
	resubmit := n.settings.ResubmitAfter
	hold := min(n.settings.LongestHold, time.Duration(leaseShare*float64(resubmit)))
	params := cell.DefaultParams(hold, n.jobLease(), n.settings.StopTime)
	grace := resubmit - n.settings.SuspectAfter - takeoverTime - n.settings.StopTime
	params.OrphanGrace = max(0, min(params.OrphanGrace, grace))
	params.Order = n.order
	params.LeaseCap = max(n.settings.LongestHold, hold)
	params.LinkRate = n.settings.LinkRate()
	params.ListRetention = missingEntriesPeriod
	return params
}

// jobLease is how long a job may run after its caller was last known to wait. It ends
// two stop times before the caller may submit the job again: one for stopping the runs
// and one of margin for executors that are slow to do so.
func (n *Node) jobLease() time.Duration {
	return n.settings.ResubmitAfter - 2*n.settings.StopTime
}

// CheckPolicies returns an error if the settings name a policy that is not registered.
func CheckPolicies(s *settings.Node) error {
	_, err := cell.Orders.Get(s.Order)
	return err
}
