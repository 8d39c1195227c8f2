package kept

import "time"

// CallAnswer answers a call that came with Accept or Cancel.
type CallAnswer struct {
	Call   uint64
	Answer Answer
	Cell   string // of a job that has been cancelled: whose owner has to know before the caller does
}

// FollowRequest is a job that is to be handed to the owner of its cell, and followed
// until it has ended there. It replaces an earlier one for the same job.
type FollowRequest struct {
	Record Record
	AsOf   time.Duration // when the row was known to be so; see RecordFreshness
	// Epoch is the least with which the job may be handed over now; it rises with
	// time, as Record.EpochAt tells, unless it is the first.
	Epoch int
}

// EndedJob is a job whose end lasts. It is followed no more, and the owner of its cell
// may forget it; one that was cancelled has to be stopped there.
type EndedJob struct {
	ID    string
	Cell  string
	State State
}

// Effects are what a keeper asks for.
type Effects struct {
	Answers  []CallAnswer
	Follow   []FollowRequest
	Ended    []EndedJob
	ReadRows []string // ids whose rows are to be read, for ApplyRows
	Problems []Problem
}

// Problem is something that an operator should know of.
type Problem struct {
	Event string
	ID    string
	Error string
}

// RecordFreshness is how long a keeper may hand a job over after it knew the row to be so.
// EndNoticeDelay is the least time between the commit of an end and the word to the owner
// that it lasts, with which executors forget the ends of the job's tasks: so an owner
// that gets a job from a keeper with an old reading finds there that its tasks are done.
// A job that was moved is handed to its new cell after as long, when nobody hands it to
// the old one any more, and once the owner there has said that it doesn't run it.
// A reading takes some 15 ms; as long as ends are kept back, holds are answered at once,
// so the times are short.
const (
	RecordFreshness = 150 * time.Millisecond
	EndNoticeDelay  = RecordFreshness + 50*time.Millisecond // the way of a handover
)

// endedEntry is the remembered end of a job.
type endedEntry struct {
	state State
	cell  string
	at    time.Duration
}
