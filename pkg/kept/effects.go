package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

// CallAnswer is the answer to a call made with Accept or Cancel.
type CallAnswer struct {
	Call   uint64
	Answer Answer
	Cell   string // of a cancelled job: the owner of this cell is notified before the caller of a cancel is answered
}

// FollowRequest asks for a job to be dispatched to the owner of its cell and followed
// until it ends there. It replaces an earlier request for the same job.
type FollowRequest struct {
	Record Record
	AsOf   time.Duration // when the row was last confirmed; see RecordFreshness
	// Epoch is the lowest epoch for the next dispatch. Unless it is the first epoch, it
	// rises with time as Record.EpochAt computes.
	Epoch int
}

// EndedJob is a job whose end is stored. It is no longer followed, and the owner of its
// cell may forget it. A cancelled job must be stopped there, and so must one whose end is
// undetermined.
type EndedJob struct {
	ID    string
	Cell  string
	State State
}

// Effects are the actions that a coordinator requests of its caller.
type Effects struct {
	Answers  []CallAnswer
	Follow   []FollowRequest
	Ended    []EndedJob
	ReadRows []string // ids of jobs whose rows must be read and passed to ApplyRows
	Problems []Problem
}

// Problem is a row that cannot be decoded, to report to the operator.
type Problem struct {
	Row   tables.Row
	Error string
}

// RecordFreshness is how long a job may be dispatched after its row was last confirmed.
// EndNoticeDelay is the shortest time between the commit of an end and the notice to the
// owner, upon which executors forget the ends of the job's tasks. It is longer than
// RecordFreshness, so that an owner that receives the job from a coordinator with an
// outdated reading still finds that the tasks have ended. A moved job waits as long before
// it is dispatched to its new cell, so that no coordinator still dispatches it to the old
// one. Both are short, because hold requests are answered at once while executors retain
// ends.
const (
	RecordFreshness = 150 * time.Millisecond
	EndNoticeDelay  = RecordFreshness + 50*time.Millisecond // the time that a dispatch travels
)

// endedEntry is the remembered end of a job.
type endedEntry struct {
	state State
	cell  string
	at    time.Duration
}
