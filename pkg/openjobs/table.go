package openjobs

import (
	"slices"
	"time"
)

const (
	// maxEntries bounds the memory of the table, to about 30 MB. Only jobs older than
	// AnnounceAfter are announced, so few tables come close to it. Jobs beyond it are not
	// recorded, and may run twice at once after a resubmission.
	maxEntries = 1 << 16
	// sweepInterval is how often expired entries are removed.
	sweepInterval = time.Second
)

// Front is a process that holds jobs open.
type Front struct {
	Address string
	Domain  string
	Process string // its incarnation, as bytes
}

// Entry is a job that another front holds open, as far as this host knows.
type Entry struct {
	ID        string
	Front     Front
	ExpiresAt time.Duration // no run of the job can be alive then
	closed    bool          // the front no longer holds the job open
	relay     bool          // this host relays announcements of it within its domain
	reporters []string      // hosts that announced it, the front among them if it did
	referred  []Front       // the fronts that Refer returned it to

	recordedAt time.Duration // when it was last announced
	closedAt   time.Duration // what was announced until then is covered by the answer that closed it
}

// Table holds the jobs that other fronts hold open. It is not safe for concurrent use.
type Table struct {
	unrenewedRunTTL time.Duration
	byID            map[string][]*Entry
	count           int
	sweptAt         time.Duration
}

// NewTable returns an empty table. unrenewedRunTTL is the time after its last renewal at
// which a run can't be alive any more.
func NewTable(unrenewedRunTTL time.Duration) *Table {
	return &Table{unrenewedRunTTL: unrenewedRunTTL, byID: map[string][]*Entry{}}
}

// Record adds the jobs of a front that a host, the reporter, announced, and returns how many
// were dropped because the table is full. relay says that this host relays announcements of
// these jobs within its domain (ToRelay).
func (t *Table) Record(front Front, reporter string, jobs []Announcement, relay bool, now time.Duration) (dropped int) {
	t.sweep(now)
	for _, job := range jobs {
		if !t.recordJob(front, reporter, job, relay, now) {
			dropped++
		}
	}
	return dropped
}

func (t *Table) recordJob(front Front, reporter string, job Announcement, relay bool, now time.Duration) bool {
	e := t.entry(job.ID, front)
	if e == nil {
		if t.count >= maxEntries {
			return false
		}
		e = &Entry{ID: job.ID, Front: front}
		t.byID[job.ID] = append(t.byID[job.ID], e)
		t.count++
	}
	if e.closed {
		e.closed, e.ExpiresAt, e.referred = false, 0, nil // the front got the job again since it was asked
	}
	e.ExpiresAt = max(e.ExpiresAt, now+job.Remaining)
	e.recordedAt = now
	e.relay = e.relay || relay
	if !slices.Contains(e.reporters, reporter) {
		e.reporters = append(e.reporters, reporter)
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

// Find returns the entries of fronts that hold a job open, or whose runs of it may be
// alive, sorted by address.
func (t *Table) Find(id string, now time.Duration) []Entry {
	var found []Entry
	for _, e := range t.byID[id] {
		if now < e.ExpiresAt {
			found = append(found, *e)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return compareFronts(a.Front, b.Front) })
	return found
}

// Refer is MustAsk for a dispatcher of an earlier build, which doesn't tell which fronts it has asked.
// Each entry is returned once to a dispatcher: when that one dispatches the job again, it has asked,
// unless the answer was lost. A process that was started anew has not.
func (t *Table) Refer(id string, dispatcher Front, now time.Duration) (Entry, bool) {
	for _, found := range t.Find(id, now) {
		e := t.entry(id, found.Front)
		if e.Front.Address != dispatcher.Address && !slices.Contains(e.referred, dispatcher) {
			e.referred = append(e.referred, dispatcher)
			return *e, true
		}
	}
	return Entry{}, false
}

// extend keeps the entry of a front that has shown that it is alive and holds the job open:
// the caller may have resubmitted the job there after the front's last announcement.
func (t *Table) extend(id string, front Front, now time.Duration) {
	if e := t.entry(id, front); e != nil {
		e.ExpiresAt = max(e.ExpiresAt, now+t.unrenewedRunTTL)
	}
}

// MarkClosed records that a front, which was asked at askedAt, does not hold a job open, and that none
// of its runs of the job can be alive at runsEndBy. The entry is removed if that time has passed.
func (t *Table) MarkClosed(id string, front Front, runsEndBy, askedAt, now time.Duration) {
	if e := t.entry(id, front); e != nil && now < runsEndBy {
		e.closed, e.closedAt = true, askedAt
		e.ExpiresAt = runsEndBy
		return
	}
	t.retain(id, func(e *Entry) bool { return e.Front != front })
}

// sweep removes expired entries.
func (t *Table) sweep(now time.Duration) {
	if now < t.sweptAt+sweepInterval {
		return
	}
	t.sweptAt = now
	for id := range t.byID {
		t.retain(id, func(e *Entry) bool { return now < e.ExpiresAt })
	}
}

// retain removes the entries of a job that are not wanted.
func (t *Table) retain(id string, wanted func(e *Entry) bool) {
	before := len(t.byID[id])
	kept := slices.DeleteFunc(t.byID[id], func(e *Entry) bool { return !wanted(e) })
	t.count -= before - len(kept)
	t.byID[id] = kept
	if len(kept) == 0 {
		delete(t.byID, id)
	}
}

// Contacts returns the hosts to ask about a front, in order: the front itself, the hosts
// that announced its job, and others that may reach it.
func (e *Entry) Contacts(others ...string) []string {
	contacts := []string{e.Front.Address}
	for _, contact := range slices.Concat(e.reporters, others) {
		if !slices.Contains(contacts, contact) {
			contacts = append(contacts, contact)
		}
	}
	return contacts
}

// ToRelay returns the announcements that this host relays within its domain, by front, for
// a host that may have missed them.
func (t *Table) ToRelay(now time.Duration) map[Front][]Announcement {
	byFront := map[Front][]Announcement{}
	for id, entries := range t.byID {
		for _, e := range entries {
			if e.relay && !e.closed && now < e.ExpiresAt {
				byFront[e.Front] = append(byFront[e.Front], Announcement{ID: id, Remaining: e.ExpiresAt - now})
			}
		}
	}
	for front := range byFront {
		sorted(byFront[front])
	}
	return byFront
}
