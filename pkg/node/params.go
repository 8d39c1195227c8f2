package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/settings"
)

// Callers send a job again some time after their connection has broken. By then no
// run of the first submission may be alive, which the job's lease at its owner
// ensures, whoever has died. These have its runs end sooner after a single death, so
// that their room is free.
const (
	leaseShare   = 0.77 // of that time, for the leases of a lost owner
	takeoverTime = 200 * time.Millisecond
)

// cellParams returns the times of leases and the policies. Whatever the settings,
// the times keep: lease of a job + stop < resubmission, lease < resubmission, and
// suspicion + takeover + grace of orphans + stop < resubmission.
func (n *Node) cellParams() cell.Params {
	resubmit := n.settings.ResubmitAfter
	hold := min(n.settings.LongestHold, time.Duration(leaseShare*float64(resubmit)))
	params := cell.DefaultParams(hold, n.jobLease(), n.settings.StopTime)
	grace := resubmit - n.settings.SuspectAfter - takeoverTime - n.settings.StopTime
	params.OrphanGrace = max(0, min(params.OrphanGrace, grace))
	params.Order = n.order
	params.LeaseCap = max(n.settings.LongestHold, hold)
	params.LinkRate = n.settings.LinkRate()
	return params
}

// jobLease is how long a job may run on after its caller was last known to wait:
// until its runs are stopped before the caller can send it again, with as much to
// spare for executors that are late to end them.
func (n *Node) jobLease() time.Duration {
	return n.settings.ResubmitAfter - 2*n.settings.StopTime
}

// CheckPolicies reports a policy of the settings that there is no plug-in for.
func CheckPolicies(s *settings.Node) error {
	_, err := cell.Orders.Get(s.Order)
	return err
}
