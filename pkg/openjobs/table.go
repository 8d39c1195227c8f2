package openjobs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// mostEntries bounds the table: 30 MB of it at some 450 bytes each. Jobs that
	// are older than AnnounceAfter are few; those beyond are not noted, and could run
	// twice at once as if nobody had told of them.
	mostEntries = 1 << 16
	// sweepInterval is how often entries that are over are taken out.
	sweepInterval = time.Second
)

// Front is a process that holds jobs open.
type Front struct {
	Address string
	Domain  string
	Process string // its incarnation, as bytes
}

// Entry is a job that another front holds open, as far as is known here.
type Entry struct {
	ID        string
	Front     Front
	ExpiresAt time.Duration // no run of it can be alive then
	closed    bool          // the front holds it open no more
	passOn    bool          // other hosts of this domain hear of it from this one
	tellers   []string      // hosts that told of it, the front among them when it did
}

// Table are the jobs that other fronts hold open. It is not safe for concurrent use.
type Table struct {
	settle time.Duration
	byID   map[string][]*Entry
	count  int
	swept  time.Duration
	lost   map[string]time.Duration // when links to hosts were lost, by address
}

// NewTable makes an empty table. settle is how long runs of a job may go on that
// nobody vouches for any more.
func NewTable(settle time.Duration) *Table {
	return &Table{settle: settle, byID: map[string][]*Entry{}, lost: map[string]time.Duration{}}
}

// Record takes what a host told of the jobs of a front, and returns how many found no room.
func (t *Table) Record(front Front, teller string, jobs []Announcement, passOn bool, now time.Duration) (dropped int) {
	t.sweep(now)
	for _, job := range jobs {
		if !t.note(front, teller, job, passOn, now) {
			dropped++
		}
	}
	return dropped
}

func (t *Table) note(front Front, teller string, job Announcement, passOn bool, now time.Duration) bool {
	e := t.entry(job.ID, front)
	if e == nil {
		if t.count >= mostEntries {
			return false
		}
		e = &Entry{ID: job.ID, Front: front}
		t.byID[job.ID] = append(t.byID[job.ID], e)
		t.count++
	}
	if e.closed {
		e.closed, e.ExpiresAt = false, 0
	}
	e.ExpiresAt = max(e.ExpiresAt, now+job.Remaining)
	e.passOn = e.passOn || passOn
	if !slices.Contains(e.tellers, teller) {
		e.tellers = append(e.tellers, teller)
	}
	return true
}

func (t *Table) entry(id string, front Front) *Entry {
	for _, e := range t.byID[id] {
		if e.Front == front {
			return e
		}
	}
	return nil
}

// Find returns the fronts that hold a job open, or whose runs of it may be alive, sorted
// by address.
func (t *Table) Find(id string, now time.Duration) []Entry {
	var found []Entry
	for _, e := range t.byID[id] {
		if now < e.ExpiresAt {
			found = append(found, *e)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Front.Address, b.Front.Address), cmp.Compare(a.Front.Process, b.Front.Process))
	})
	return found
}

// prolong keeps an entry for a while of a front that has shown that it lives and has the
// job open: it may have come there once more since the front last told of it.
func (t *Table) prolong(id string, front Front, now time.Duration) {
	if e := t.entry(id, front); e != nil {
		e.ExpiresAt = max(e.ExpiresAt, now+t.settle)
	}
}

// MarkClosed takes that a front doesn't hold a job open, and that no run of it can be alive
// at a time.
func (t *Table) MarkClosed(id string, front Front, overAt, now time.Duration) {
	if e := t.entry(id, front); e != nil && now < overAt {
		e.closed = true
		e.ExpiresAt = overAt
		return
	}
	t.keep(id, func(e *Entry) bool { return e.Front != front })
}

// sweep takes out what is over.
func (t *Table) sweep(now time.Duration) {
	if now < t.swept+sweepInterval {
		return
	}
	t.swept = now
	for id := range t.byID {
		t.keep(id, func(e *Entry) bool { return now < e.ExpiresAt })
	}
	maps.DeleteFunc(t.lost, func(_ string, at time.Duration) bool { return now >= at+lostLife })
}

// keep keeps the entries of a job that are wanted.
func (t *Table) keep(id string, wanted func(e *Entry) bool) {
	before := len(t.byID[id])
	kept := slices.DeleteFunc(t.byID[id], func(e *Entry) bool { return !wanted(e) })
	t.count -= before - len(kept)
	t.byID[id] = kept
	if len(kept) == 0 {
		delete(t.byID, id)
	}
}

// lostLife is how long the loss of a link is remembered. No entry of a job is of
// use for longer with the deadlines that callers set; an older loss counts as one
// that is noticed anew, which only makes a job wait.
const lostLife = time.Minute

// LinkDown takes that the link to a host is lost.
func (t *Table) LinkDown(address string, now time.Duration) {
	if _, noted := t.lost[address]; !noted {
		t.lost[address] = now
	}
}

// LinkUp takes that the link to a host is up.
func (t *Table) LinkUp(address string) { delete(t.lost, address) }

// ResetLosses takes that this host had been cut off from its domain, or stood still, until now.
// Whom it lost meanwhile may have been well.
func (t *Table) ResetLosses(now time.Duration) {
	for address := range t.lost {
		t.lost[address] = now
	}
}

// ConfirmAlive takes that a front has answered by way of another host: it lives.
func (t *Table) ConfirmAlive(address string, now time.Duration) {
	if _, noted := t.lost[address]; noted {
		t.lost[address] = now
	}
}

// Contacts returns the hosts to ask for a front, in order: itself, those that told of its
// job, and others that may reach it.
func (e *Entry) Contacts(others ...string) []string {
	ways := []string{e.Front.Address}
	for _, way := range slices.Concat(e.tellers, others) {
		if !slices.Contains(ways, way) {
			ways = append(ways, way)
		}
	}
	return ways
}

// RunsEndBy returns when no run of a job can be alive any more whose front is lost, as was
// noticed at a time. Only a host of the front's own domain can say: it takes the front for
// dead, or cut off from the owners that it renewed leases at. To others the front may
// be out of sight because its domain is cut off and goes on serving.
func (t *Table) RunsEndBy(e Entry, noticed time.Duration) time.Duration {
	lostAt, noted := t.lost[e.Front.Address]
	if !noted {
		lostAt = noticed
	}
	return min(e.ExpiresAt, lostAt+t.settle)
}

// ToRelay returns what is known of jobs that other hosts of this domain hear of
// from this one, by front, for a host that may not have heard it.
func (t *Table) ToRelay(now time.Duration) map[Front][]Announcement {
	byFront := map[Front][]Announcement{}
	for id, entries := range t.byID {
		for _, e := range entries {
			if e.passOn && !e.closed && now < e.ExpiresAt {
				byFront[e.Front] = append(byFront[e.Front], Announcement{ID: id, Remaining: e.ExpiresAt - now})
			}
		}
	}
	for front := range byFront {
		sorted(byFront[front])
	}
	return byFront
}
