package keeping

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/tables"
	qt "github.com/frankban/quicktest"
)

// fakeStore is an in-memory store.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]tables.Row
	version uint64
	fail    error // of every call; nil for none
	lose    bool  // drop the next answer to a transaction, which is applied
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]tables.Row{}} }

func (s *fakeStore) setFail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = err
}

func (s *fakeStore) Commit(_ context.Context, t tables.Transaction) (tables.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return tables.Result{}, s.fail
	}
	var current []tables.Row
	holds := true
	for _, c := range t.Expect {
		row, present := s.rows[t.Part+c.Table+"/"+c.Key]
		holds = holds && row.Version == c.Version
		if present {
			current = append(current, row)
		}
	}
	if !holds {
		return tables.Result{Conflicts: current}, errkind.New(errkind.Conflict, "read the rows", "a condition does not hold")
	}
	s.version++
	for _, row := range t.Put {
		row.Version = s.version
		s.rows[t.Part+row.Table+"/"+row.Key] = row
	}
	for _, c := range t.Remove {
		delete(s.rows, t.Part+c.Table+"/"+c.Key)
	}
	if s.lose {
		s.lose = false
		return tables.Result{}, errkind.New(errkind.PlatformMaybe, "try again", "no answer")
	}
	return tables.Result{Version: s.version, Now: time.Hour}, nil
}

func (s *fakeStore) Read(_ context.Context, table, part, from string) (tables.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := tables.Page{Now: time.Hour}
	for name, row := range s.rows {
		if strings.HasPrefix(name, part+table+"/") && row.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b tables.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > 2 { // small pages
		page.Rows, page.More = page.Rows[:2], true
	}
	return page, s.fail
}

func (s *fakeStore) ReadRow(_ context.Context, table, part, key string) (tables.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := s.rows[part+table+"/"+key]
	return row, found, s.fail
}

// fakeDispatch is a dispatched job. The test sends its outcome to end.
type fakeDispatch struct {
	id          string
	cell        string
	epoch       int
	maxAttempts int
	progress    []job.Progress
	namesRuns   bool
	end         chan job.Outcome
}

// fakeHost is a node that coordinates every partition by default.
type fakeHost struct {
	coordinator  CoordinatorHost
	ask          func(id string) (kept.Answer, bool) // answers for the other coordinator
	dispatches   chan fakeDispatch
	notices      chan OwnerNotice
	noOwner      bool
	noCell       bool
	wait         time.Duration // queueing time at the cell
	seesMinority atomic.Bool
	lacksHosts   atomic.Bool // some expected hosts are unreachable
	unmeetable   atomic.Bool // no executor can run jobs
	stillRunning []string    // moved jobs that still run in their previous cells
	cells        fakeCells

	unreadable atomic.Int32 // unreadable rows that were counted
}

// fakeCells is a domain that may have been divided into other cells. The zero value has no cells
// of which anything is known.
type fakeCells struct {
	mu         sync.Mutex
	removed    map[string]bool
	vacant     map[string]bool
	chosen     string              // the cell for new and moved jobs; empty for x
	successors []string            // of removed cells
	ownerless  map[string]bool     // cells without a reachable owner
	unadopted  map[string]bool     // cells whose owners may not know all runs
	runs       map[string][]string // jobs that have runs, by cell
	ends       []job.Progress      // that executors of other cells than that of a job list
}

func (f *fakeCells) change(event func(f *fakeCells)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	event(f)
}

func (f *fakeCells) hasOwner(cell string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.ownerless[cell]
}

func (f *fakeCells) notify(notice OwnerNotice) (runs []string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[notice.Cell], !f.ownerless[notice.Cell] && !f.unadopted[notice.Cell]
}

func newFakeHost() *fakeHost {
	return &fakeHost{coordinator: CoordinatorHost{Self: true}, dispatches: make(chan fakeDispatch, 100), notices: make(chan OwnerNotice, 100)}
}

func (h *fakeHost) MembershipKnown() bool             { return true }
func (h *fakeHost) SeesAll() bool                     { return !h.lacksHosts.Load() }
func (h *fakeHost) ViewVersion() uint64               { return 1 }
func (h *fakeHost) CoordinatorOf(int) CoordinatorHost { return h.coordinator }
func (h *fakeHost) QueueDelay(string) time.Duration   { return h.wait }
func (h *fakeHost) HasOwner(cell string) bool         { return !h.noOwner && h.cells.hasOwner(cell) }
func (h *fakeHost) SeesMinority() bool                { return h.seesMinority.Load() }
func (h *fakeHost) OwnersChanged() <-chan struct{}    { return make(chan struct{}) }
func (h *fakeHost) KeptAnswered(string, string)       {}

func (h *fakeHost) KeptWritten(string, int, time.Duration) {}

func (h *fakeHost) RowsUnreadable(_, _ string, rows int) { h.unreadable.Add(int32(rows)) }

func (h *fakeHost) ChooseCell(*job.Job) (string, bool) {
	h.cells.mu.Lock()
	defer h.cells.mu.Unlock()
	return cmp.Or(h.cells.chosen, "x"), !h.noCell
}

func (h *fakeHost) CellRemoved(cell string) bool {
	h.cells.mu.Lock()
	defer h.cells.mu.Unlock()
	return h.cells.removed[cell]
}

func (h *fakeHost) ChooseOtherCell(cell string, j *job.Job, _ []job.Progress) (string, bool) {
	next, ok := h.ChooseCell(j)
	return next, ok && next != cell
}

func (h *fakeHost) IsUnmeetable(*job.Job) bool { return h.unmeetable.Load() }

func (h *fakeHost) VacancyObstacle(cell string) string {
	h.cells.mu.Lock()
	defer h.cells.mu.Unlock()
	if h.cells.vacant[cell] {
		return ""
	}
	return "anything"
}

func (h *fakeHost) Successors(cell string) ([]string, bool) {
	h.cells.mu.Lock()
	defer h.cells.mu.Unlock()
	return h.cells.successors, h.cells.removed[cell] && h.cells.ownerless[cell]
}

func (h *fakeHost) ReleaseMoved(_ context.Context, cell, id string) ([]job.Progress, bool) {
	notice := OwnerNotice{Cell: cell, IDs: []string{id}, Moved: true}
	h.notices <- notice
	runs, ok := h.cells.notify(notice)
	return h.cells.ends, ok && len(runs) == 0
}

func (h *fakeHost) ChooseAmong(cells []string, _ *job.Job, _ []job.Progress) (string, bool) {
	return cells[0], true
}

func (h *fakeHost) AskCoordinator(_ context.Context, _, _ string, j *job.Job, _ int) (kept.Answer, bool) {
	return h.ask(j.ID)
}

func (h *fakeHost) AskState(_ context.Context, _, id string, _ bool, _ int) (kept.Answer, bool) {
	return h.ask(id)
}

func (h *fakeHost) Dispatch(ctx context.Context, j *job.Job, d Dispatch) job.Outcome {
	dispatched := fakeDispatch{id: j.ID, cell: d.Cell, epoch: d.Epoch, maxAttempts: j.MaxAttempts, progress: d.Progress, namesRuns: d.NamesRuns, end: make(chan job.Outcome, 1)}
	h.dispatches <- dispatched
	select {
	case outcome := <-dispatched.end:
		return outcome
	case <-ctx.Done():
		return job.Outcome{Kind: job.Expired}
	}
}

func (h *fakeHost) NotifyOwner(_ context.Context, notice OwnerNotice) ([]string, bool) {
	h.notices <- notice
	runs, ok := h.cells.notify(notice)
	return append(runs, h.stillRunning...), ok && !h.noOwner
}

// keepOne returns a service that follows a job, its node, and the job's first dispatch.
func keepOne(c *qt.C, cleanup func(func())) (*fakeHost, *Service, fakeDispatch) {
	host := newFakeHost()
	service := startService(cleanup, host, newFakeStore())
	service.Keep(context.Background(), testJob("a"))
	return host, service, within(c, host.dispatches)
}

// startService runs a service until the test ends.
func startService(cleanup func(func()), host *fakeHost, store tables.Store) *Service {
	s := NewService(common.NewTestCommon(), host, store, host)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	cleanup(cancel)
	return s
}
