package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
)

// A job that the network has held up may be open at another front already, which is too young there to have
// been announced. So its front announces it before it hands it to an owner. The other front, which
// learns of it by that, announces it at once as well.

// awaitMeeting waits until this front knows whether another one holds a new, delayed job open. It returns true
// and the outcome of the job if that can't be.
func (f *front) awaitMeeting(ctx context.Context, open *openJob) (job.Outcome, bool) {
	n := f.node
	if !n.isAnnounced(open.job) || n.isOnlyHost() {
		return job.Outcome{}, false // it ends before it can be sent again, or comes here again
	}
	if !f.awaitAllDomains(ctx, open) && ctx.Err() == nil {
		n.Log.Info("job_not_accepted", "job", open.job.ID, "reason", errUnconfirmed.Error())
		return givenUp(errUnconfirmed.Error(), true), true
	}
	if !f.sleepUntil(ctx, openjobs.MetBy(n.Clock.Now())) {
		return abandoned(ctx, true), true
	}
	return job.Outcome{}, false
}
