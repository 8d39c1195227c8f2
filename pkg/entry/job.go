package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxcroft/foxcroft/pkg/admit"
	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/retry"
)

// request is a submission before its check. Only the primary of its id checks it
// against the configuration, since only the primary's refusal is final.
type request struct {
	labels   metrics.Labels
	received time.Duration // by this host's clock
	left     time.Duration // to the deadline, from received; 0 for the service's default
	tasks    [][]byte
	digest   uint64 // of labels and tasks
}

// newRequest makes a request that arrives now.
func newRequest(labels metrics.Labels, left, now time.Duration, tasks [][]byte) *request {
	return &request{labels: labels, received: now, left: left, tasks: tasks, digest: digestOf(labels, tasks)}
}

// spec is a request that the configuration allows.
type spec struct {
	*request
	service  *config.Service
	pool     *config.Pool
	team     *config.Team
	deadline time.Duration // by this host's clock
}

// digestOf returns a digest of a job, by which the use of one id for two jobs is detected.
func digestOf(labels metrics.Labels, tasks [][]byte) uint64 {
	digest := xxhash.New()
	var length [8]byte
	write := func(part []byte) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	write([]byte(labels.Service))
	write([]byte(labels.Team))
	write([]byte(labels.Class))
	for _, task := range tasks {
		write(task)
	}
	return digest.Sum64()
}

// job is a submission under way on its primary.
type job struct {
	*spec
	id     once.ID
	idText string
	item   *admit.Item[*job]
	ctx    context.Context // ends at the deadline
	cancel context.CancelFunc
	done   chan struct{} // closed when answer is set
	answer *once.Answer

	mu        sync.Mutex
	results   [][]byte
	remaining int   // tasks without a result
	next      int   // index of the first task that has never been started
	retries   []int // indexes of tasks to try again, whose attempts did not start
	written   int   // number of attempts that may have started
	ended     bool  // no further attempt may be sent
}

func newJob(s *spec, id once.ID, now time.Duration) *job {
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline-now)
	j := &job{
		spec:      s,
		id:        id,
		idText:    id.String(),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		results:   make([][]byte, len(s.tasks)),
		remaining: len(s.tasks),
	}
	j.item = &admit.Item[*job]{Job: j, Team: s.team.Name, Left: len(s.tasks), Arrived: s.received, Deadline: s.deadline}
	return j
}

// whyEnded returns the error of a job whose attempt ended with err. An attempt that was
// interrupted when the deadline passed failed because of the deadline, not the target.
func (j *job) whyEnded(err *errkind.Error) *errkind.Error {
	if err.Kind == errkind.TargetLost && errors.Is(j.ctx.Err(), context.DeadlineExceeded) {
		return deadlinePassed()
	}
	return err
}

// wait returns the answer, or nil when ctx ends first.
func (j *job) wait(ctx context.Context) *once.Answer {
	select {
	case <-j.done:
		return j.answer
	case <-ctx.Done():
		return nil
	}
}

// takeIndex removes the next task to run and returns its index.
func (j *job) takeIndex() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.retries); n > 0 {
		index := j.retries[n-1]
		j.retries = j.retries[:n-1]
		return index
	}
	j.next++
	return j.next - 1
}

func (j *job) taskName(index int) string {
	return j.idText + "/" + strconv.Itoa(index)
}

// mayWrite is the last check before an attempt is sent to its target.
func (j *job) mayWrite(now time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !retry.MayWrite(now, j.deadline, j.ended) {
		return false
	}
	j.written++
	return true
}

// notStarted undoes an attempt that is known not to have started, and reports whether
// the task waits again. wasWritten tells whether mayWrite has counted it.
func (j *job) notStarted(index int, wasWritten bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if wasWritten {
		j.written--
	}
	if j.ended {
		return false
	}
	j.retries = append(j.retries, index)
	return true
}

// succeed stores a task's result and reports whether the job is complete now.
func (j *job) succeed(index int, output []byte) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return false
	}
	j.results[index] = output
	j.remaining--
	if j.remaining > 0 {
		return false
	}
	j.ended = true
	return true
}

func (j *job) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// stop ends a job that is not complete, so that no further attempt is sent, and returns
// its answer: refused when no task can have started, else failed. It returns nil when
// the job had already ended.
func (j *job) stop(err *errkind.Error) *once.Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return nil
	}
	j.ended = true
	if j.written == 0 {
		return once.NewAnswer(once.Refused, err)
	}
	return once.NewAnswer(once.Failed, err)
}

func (j *job) completeAnswer() *once.Answer {
	return &once.Answer{Outcome: once.Complete, Results: j.results}
}
