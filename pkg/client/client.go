// Package client is the callers' library. It learns homes from answers, resubmits a
// job under the same id when an answer is lost, and uses a new id only after an answer
// that confirms that nothing ran.
package client

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/retry"
)

const (
	partBytes       = 16
	idleConnections = 256
	defaultDeadline = 10 * time.Second
	homePause       = 100 * time.Millisecond
	answerGrace     = time.Second            // how long after the deadline the answer is awaited
	homeRefetchWait = 200 * time.Millisecond // after a longer wait, a new home is fetched
	remedyMayRun    = "check at the service whether the job ran before you submit it under a new id"
)

// RenewSeparator separates the caller's own part of an id from the number of the id
// among those of the job, which is appended from the second id on.
const RenewSeparator = ":"

// Options configure a Client.
type Options struct {
	Entries []string      // addresses (IP:port) of the balancer, or of entry hosts
	Direct  bool          // submit to the primary's own address, where callers can reach it
	Attempt time.Duration // time limit of one attempt to submit; 0 means up to the job's deadline
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	home    atomic.Pointer[jobapi.Home]
	sent    atomic.Uint64
}

// New makes a client.
func New(options Options) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// Job is a job to submit.
type Job struct {
	Service  string
	Team     string
	Class    string        // names the kind of work
	Deadline time.Duration // 0 means ten seconds
	Tasks    []json.RawMessage
	Part     string // the caller's own part of the id; random when empty
}

// Result is a complete job.
type Result struct {
	ID      string
	Results [][]byte // one per task, in order
	Tries   int      // number of submissions made
}

// MayHaveRun reports whether tasks of a job that ended in err may have run. Only when
// it is false is it safe to submit the job under a new id.
func MayHaveRun(err error) bool {
	if e := new(JobError); asJobError(err, &e) {
		return e.Outcome != once.Refused
	}
	return err != nil
}

// JobError is the error of a job that did not complete. Its cause is an
// *errkind.Error.
type JobError struct {
	ID      string
	Outcome once.Outcome
	Err     *errkind.Error
}

// Error returns the outcome, the message and the remedy.
func (e *JobError) Error() string { return "job " + e.Outcome.String() + ": " + e.Err.Error() }

// Unwrap returns the typed error.
func (e *JobError) Unwrap() error { return e.Err }

// submission is the state of a job from its submission to its answer.
type submission struct {
	job        Job
	part       string
	id         string
	address    string // of the home's primary, if callers may reach it
	deadline   time.Time
	tries      int
	ids        int  // number of ids that the job has had
	unresolved bool // an attempt under this id had no answer, or one of unknown outcome
}

// Submit submits a job and waits for its answer. The error is a *JobError.
func (c *Client) Submit(ctx context.Context, job Job) (*Result, error) {
	if job.Deadline == 0 {
		job.Deadline = defaultDeadline
	}
	s := &submission{job: job, part: job.Part, deadline: time.Now().Add(job.Deadline)}
	if s.part == "" {
		s.part = newRandomPart()
	}
	// The host answers at the deadline. Giving up before that answer arrives would
	// turn a refusal into an unknown outcome.
	ctx, cancel := context.WithDeadline(ctx, s.deadline.Add(answerGrace))
	defer cancel()
	if err := c.takeHome(ctx, s); err != nil {
		return nil, &JobError{Outcome: once.Refused, Err: errkind.From(err)}
	}
	for {
		s.tries++
		reply, err := c.try(ctx, s)
		if err == nil && reply.Outcome == once.Complete.String() {
			return &Result{ID: s.id, Results: reply.Answer().Results, Tries: s.tries}, nil
		}
		step, wait := nextStep(reply, err, time.Until(s.deadline))
		if step == retry.GiveUp || !common.Sleep(ctx, wait) {
			return nil, finalError(s.id, reply, err)
		}
		if step == retry.SameID {
			continue
		}
		if wait > homeRefetchWait {
			// Both hosts of the known home may have been replaced.
			c.home.Store(nil)
		}
		if err := c.takeHome(ctx, s); err != nil {
			return nil, finalError(s.id, reply, nil)
		}
	}
}

func nextStep(reply *jobapi.Answer, err error, left time.Duration) (retry.Step, time.Duration) {
	if err != nil {
		return retry.AfterLostAnswer(left)
	}
	a := reply.Answer()
	return retry.AfterAnswer(a.Outcome, a.Kind, a.RetryAfter, left)
}

func finalError(id string, reply *jobapi.Answer, err error) error {
	if err != nil {
		return &JobError{ID: id, Outcome: once.Unknown, Err: errkind.Wrap(err, errkind.MayHaveRun, remedyMayRun, "no answer came before the deadline")}
	}
	a := reply.Answer()
	return &JobError{ID: id, Outcome: a.Outcome, Err: &errkind.Error{Kind: a.Kind, Message: a.Message, Remedy: a.Remedy, RetryAfter: a.RetryAfter}}
}

// takeHome gives the submission an id under a current home.
func (c *Client) takeHome(ctx context.Context, s *submission) error {
	home := c.home.Load()
	for home == nil {
		fetched, err := c.fetchHome(ctx)
		if err == nil {
			c.home.Store(fetched)
			home = fetched
			break
		}
		if !common.Sleep(ctx, homePause) {
			return err
		}
	}
	s.ids++
	s.unresolved = false
	s.id = home.Home + "~" + s.part
	if s.ids > 1 {
		// The home may be the same as before, and a refused id stays refused.
		s.id += RenewSeparator + strconv.Itoa(s.ids)
	}
	s.address = home.HomeAddress
	return nil
}

func (c *Client) fetchHome(ctx context.Context) (*jobapi.Home, error) {
	var home jobapi.Home
	body, status, err := c.do(ctx, http.MethodGet, c.anyEntry(), jobapi.PathHome, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errkind.New(errkind.NotReady, "wait until an entry host says ready", "no home is available: %.200s", body)
	}
	if err := json.Unmarshal(body, &home); err != nil || home.Home == "" {
		return nil, errkind.New(errkind.Internal, "check what answers at the entry address", "the reply is not a home: %.200s", body)
	}
	return &home, nil
}

// try sends a submission once. A refusal without an id, such as that of an unreadable
// body, holds for this attempt only: an earlier attempt under the id may have run.
func (c *Client) try(ctx context.Context, s *submission) (*jobapi.Answer, error) {
	answer, err := c.post(ctx, s)
	if err != nil {
		s.unresolved = true
		return nil, err
	}
	if answer.ID == "" && s.unresolved {
		answer.Outcome = once.Unknown.String()
	}
	s.unresolved = s.unresolved || once.ParseOutcome(answer.Outcome) == once.Unknown
	return answer, nil
}

// post sends a submission once. An error means that no answer came.
func (c *Client) post(ctx context.Context, s *submission) (*jobapi.Answer, error) {
	if c.options.Attempt > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.options.Attempt)
		defer cancel()
		ctx = bounded
	}
	body, err := json.Marshal(jobapi.Job{
		ID:         s.id,
		Service:    s.job.Service,
		Team:       s.job.Team,
		Class:      s.job.Class,
		DeadlineMS: max(1, time.Until(s.deadline).Milliseconds()),
		Tasks:      s.job.Tasks,
	})
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "give each task a JSON value", "the job cannot be encoded")
	}
	reply, _, err := c.do(ctx, http.MethodPost, c.entryFor(s), jobapi.PathJobs, body)
	if err != nil {
		return nil, err
	}
	var answer jobapi.Answer
	if err := json.Unmarshal(reply, &answer); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "check what answers at the entry address", "the reply is not an answer")
	}
	if once.ParseOutcome(answer.Outcome) == 0 {
		return nil, errkind.New(errkind.Internal, "check what answers at the entry address", "the reply has no outcome: %.200s", reply)
	}
	if answer.ID != s.id && answer.ID != "" {
		return nil, errkind.New(errkind.Internal, "check the balancer", "the reply is for id %s", answer.ID)
	}
	if answer.Home != "" {
		c.home.Store(&jobapi.Home{Home: answer.Home, HomeAddress: answer.HomeAddress})
	}
	return &answer, nil
}

// Cancel cancels the tasks of a job that have not started and returns its outcome.
func (c *Client) Cancel(ctx context.Context, id string) (once.Outcome, error) {
	reply, _, err := c.do(ctx, http.MethodDelete, c.anyEntry(), jobapi.PathJobs+"/"+id, nil)
	if err != nil {
		return once.Unknown, err
	}
	var answer jobapi.Answer
	if err := json.Unmarshal(reply, &answer); err != nil {
		return once.Unknown, errkind.Wrap(err, errkind.Internal, "check what answers at the entry address", "the reply is not an answer")
	}
	return once.ParseOutcome(answer.Outcome), nil
}

// Sent returns the number of requests sent so far.
func (c *Client) Sent() uint64 { return c.sent.Load() }

func (c *Client) do(ctx context.Context, method, address, path string, body []byte) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, errkind.Wrap(err, errkind.BadRequest, "give addresses as IP:port", "no request can be made")
	}
	c.sent.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	return reply, response.StatusCode, err
}

// entryFor returns the primary's address for the first attempt if Options.Direct is
// set, and otherwise a random entry.
func (c *Client) entryFor(s *submission) string {
	if c.options.Direct && s.tries == 1 && s.address != "" {
		return s.address
	}
	return c.anyEntry()
}

func (c *Client) anyEntry() string {
	return c.options.Entries[rand.IntN(len(c.options.Entries))]
}

func newRandomPart() string {
	part := make([]byte, partBytes)
	_, _ = crand.Read(part) // never fails
	return hex.EncodeToString(part)
}

func asJobError(err error, into **JobError) bool {
	e, ok := err.(*JobError)
	if ok {
		*into = e
	}
	return ok
}
