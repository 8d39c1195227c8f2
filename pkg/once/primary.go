package once

import "time"

// Policy limits what a primary and a backup keep.
type Policy struct {
	HomeLife  time.Duration // how long a home accepts new submissions
	Retention time.Duration // how long ids are kept, from the minting of their home
	MaxIDs    int           // maximum number of ids; homes close early when it is reached
}

// DefaultPolicy returns a policy for deadlines of up to four minutes.
func DefaultPolicy() Policy {
	return Policy{HomeLife: time.Minute, Retention: 10 * time.Minute, MaxIDs: 1 << 20}
}

// Verdict tells a host what to do with a submission.
type Verdict uint8

// Verdicts on a submission.
const (
	NotMine  Verdict = iota // another incarnation is the primary
	Record                  // have the backup record the id, then call Recorded or RecordLost
	Run                     // start the tasks
	Join                    // the job is open at this host; wait for its answer
	Answered                // the answer is available
)

type state uint8

const (
	recording state = iota // waiting for the backup's acknowledgement
	running                // tasks may start
	ended                  // the answer is stored
)

// entry is the state of one id at a primary or a backup.
type entry struct {
	state  state
	digest uint64 // of the submission's body
	answer *Answer
}

type primaryHome struct {
	home     Home
	mintedAt time.Duration
	closed   bool
	entries  map[string]*entry // by the id's part
}

// Primary holds the submissions under the homes that one process minted. It is
// not safe for concurrent use.
type Primary struct {
	self      Incarnation
	domain    string
	policy    Policy
	homes     map[uint64]*primaryHome
	lastEpoch uint64 // epoch of the newest home; 0 before the first
	minEpoch  uint64 // epochs below it are evicted
	ids       int
}

// NewPrimary returns the empty Primary of a process that has just started.
func NewPrimary(self Incarnation, domain string, policy Policy) *Primary {
	return &Primary{self: self, domain: domain, policy: policy, homes: map[uint64]*primaryHome{}, minEpoch: 1}
}

// Home returns the current home if it is open, has the given backup and is in
// the first half of its HomeLife. Otherwise it mints a new home. Under a home
// with the zero backup, submissions start without a record. ok is false while
// MaxIDs is reached.
func (p *Primary) Home(backup Incarnation, now time.Duration) (home Home, ok bool) {
	p.evict(now)
	current := p.homes[p.lastEpoch]
	if current != nil && p.isFresh(current, now) && current.home.Backup == backup {
		return current.home, true
	}
	if p.ids >= p.policy.MaxIDs {
		p.closeAll()
		return Home{}, false
	}
	p.lastEpoch++
	minted := Home{Domain: p.domain, Primary: p.self, Backup: backup, Epoch: p.lastEpoch}
	p.homes[p.lastEpoch] = &primaryHome{home: minted, mintedAt: now, entries: map[string]*entry{}}
	return minted, true
}

// Submit decides on a submission of id whose body has the given digest. The
// answer is set only with the verdict Answered.
func (p *Primary) Submit(id ID, digest uint64, now time.Duration) (Verdict, *Answer) {
	if id.Home.Primary != p.self {
		return NotMine, nil
	}
	p.evict(now)
	h, answer := p.find(id.Home)
	if answer != nil {
		return Answered, answer
	}
	if known := h.entries[id.Part]; known != nil {
		return known.resubmit(digest)
	}
	if h.closed || now-h.mintedAt > p.policy.HomeLife {
		// The id needs no entry: a closed home accepts no new ids.
		return Answered, homeClosedAnswer()
	}
	if p.ids >= p.policy.MaxIDs {
		p.closeAll()
		return Answered, homeClosedAnswer()
	}
	return p.add(h, id, digest), nil
}

func (p *Primary) add(h *primaryHome, id ID, digest uint64) Verdict {
	p.ids++
	added := &entry{state: recording, digest: digest}
	h.entries[id.Part] = added
	if h.home.HasBackup() {
		return Record
	}
	added.state = running
	return Run
}

func (e *entry) resubmit(digest uint64) (Verdict, *Answer) {
	if e.digest != digest {
		return Answered, idReusedAnswer()
	}
	if e.state == ended {
		return Answered, e.answer
	}
	return Join, nil
}

// Recorded handles the backup's acknowledgement of id. It reports whether the
// tasks may start now; they may not if the id has ended in the meantime.
func (p *Primary) Recorded(id ID) bool {
	known := p.lookup(id)
	if known == nil || known.state != recording {
		return false
	}
	known.state = running
	return true
}

// RecordLost handles a missing or negative acknowledgement of id: the backup is
// unreachable, has no room, or fenced the home. It closes the home, ends the id
// and returns its answer.
func (p *Primary) RecordLost(id ID) *Answer {
	p.CloseHome(id.Home)
	return p.End(id, homeClosedAnswer())
}

// CloseHome stops a home permanently from accepting new submissions.
func (p *Primary) CloseHome(home Home) {
	if h := p.homes[home.Epoch]; h != nil && h.home == home {
		h.closed = true
	}
}

// CloseAll stops all homes from accepting new submissions, for a planned stop.
func (p *Primary) CloseAll() { p.closeAll() }

// End ends id with an answer and returns its answer: the first one stored, if
// id had ended before.
func (p *Primary) End(id ID, answer *Answer) *Answer {
	known := p.lookup(id)
	if known == nil {
		return answer
	}
	if known.state == ended {
		return known.answer
	}
	known.state = ended
	known.answer = answer
	return answer
}

// Answer returns the stored answer to id, or nil, and whether id is known.
func (p *Primary) Answer(id ID) (answer *Answer, known bool) {
	found := p.lookup(id)
	if found == nil {
		return nil, false
	}
	return found.answer, true
}

// Each calls fn for each ended id whose home has a backup, for the handover to
// the backups at a planned stop.
func (p *Primary) Each(fn func(id ID, answer *Answer)) {
	for _, h := range p.homes {
		if !h.home.HasBackup() {
			continue
		}
		for part, known := range h.entries {
			if known.state == ended {
				fn(ID{Home: h.home, Part: part}, known.answer)
			}
		}
	}
}

// Homes returns the homes that have not been evicted.
func (p *Primary) Homes() []Home {
	homes := make([]Home, 0, len(p.homes))
	for _, h := range p.homes {
		homes = append(homes, h.home)
	}
	return homes
}

// Len returns the number of ids that are kept.
func (p *Primary) Len() int { return p.ids }

// find returns the entries of a home, or, for a home without entries, the answer
// to all ids under it.
func (p *Primary) find(home Home) (*primaryHome, *Answer) {
	h := p.homes[home.Epoch]
	if h != nil && h.home == home {
		return h, nil
	}
	if home.Epoch < p.minEpoch {
		return nil, forgottenAnswer()
	}
	// This incarnation never minted the home, so no task ran under it.
	return nil, homeClosedAnswer()
}

// lookup returns the entry of id, or nil.
func (p *Primary) lookup(id ID) *entry {
	h := p.homes[id.Home.Epoch]
	if h == nil || h.home != id.Home {
		return nil
	}
	return h.entries[id.Part]
}

func (p *Primary) isFresh(h *primaryHome, now time.Duration) bool {
	return !h.closed && now-h.mintedAt <= p.policy.HomeLife/2
}

func (p *Primary) closeAll() {
	for _, h := range p.homes {
		h.closed = true
	}
}

// evict removes homes older than the retention, in the order of their epochs. A
// home with an open job is retained, and so are those after it.
func (p *Primary) evict(now time.Duration) {
	for p.minEpoch <= p.lastEpoch {
		h := p.homes[p.minEpoch]
		if h != nil {
			if now-h.mintedAt <= p.policy.Retention || h.isBusy() {
				return
			}
			p.ids -= len(h.entries)
			delete(p.homes, p.minEpoch)
		}
		p.minEpoch++
	}
}

func (h *primaryHome) isBusy() bool {
	for _, known := range h.entries {
		if known.state != ended {
			return true
		}
	}
	return false
}
