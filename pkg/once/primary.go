package once

import "time"

// Policy bounds the memory of a primary and of a backup.
type Policy struct {
	HomeLife  time.Duration // how long a home takes new submissions
	Retention time.Duration // how long ids are kept, from the minting of their home
	MaxIDs    int           // ids kept at most; past it the homes close early
}

// DefaultPolicy suits deadlines of up to four minutes.
func DefaultPolicy() Policy {
	return Policy{HomeLife: time.Minute, Retention: 10 * time.Minute, MaxIDs: 1 << 20}
}

// Verdict tells a host what to do with a submission.
type Verdict uint8

// The verdicts on a submission.
const (
	NotMine  Verdict = iota // another incarnation is the primary
	Record                  // have the backup record the id, then call Recorded or RecordLost
	Run                     // start the tasks
	Join                    // the job is under way here; wait for its answer
	Answered                // the answer is there
)

type state uint8

const (
	recording state = iota // waiting for the backup's acknowledgement
	running                // tasks may start
	ended                  // the answer is kept
)

// entry is what a primary or a backup remembers of one id.
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

// Primary is the memory of the submissions whose homes one process minted.
// It is not safe for concurrent use.
type Primary struct {
	self   Incarnation
	domain string
	policy Policy
	homes  map[uint64]*primaryHome
	last   uint64 // epoch of the newest home; 0 before the first
	low    uint64 // epochs below it are evicted
	ids    int
}

// NewPrimary makes the memory of a process that just started.
func NewPrimary(self Incarnation, domain string, policy Policy) *Primary {
	return &Primary{self: self, domain: domain, policy: policy, homes: map[uint64]*primaryHome{}, low: 1}
}

// Home returns the current home, minting one when there is none that still
// has half its life and the wanted backup. The zero backup mints a home whose
// submissions start without a record. ok is false while the memory is full.
func (p *Primary) Home(backup Incarnation, now time.Duration) (home Home, ok bool) {
	p.evict(now)
	current := p.homes[p.last]
	if current != nil && p.isYoung(current, now) && current.home.Backup == backup {
		return current.home, true
	}
	if p.ids >= p.policy.MaxIDs {
		p.closeAll()
		return Home{}, false
	}
	p.last++
	minted := Home{Domain: p.domain, Primary: p.self, Backup: backup, Epoch: p.last}
	p.homes[p.last] = &primaryHome{home: minted, mintedAt: now, entries: map[string]*entry{}}
	return minted, true
}

// Submit decides on a submission of id whose body has the given digest. The
// answer is set with the verdict Answered alone.
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
		// Nothing needs remembering: a closed home starts nothing new.
		return Answered, refusedHomeClosed()
	}
	if p.ids >= p.policy.MaxIDs {
		p.closeAll()
		return Answered, refusedHomeClosed()
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
		return Answered, unknownIDReused()
	}
	if e.state == ended {
		return Answered, e.answer
	}
	return Join, nil
}

// Recorded takes the backup's acknowledgement of id. It reports whether the
// tasks may start now; they may not when the id ended in the meantime.
func (p *Primary) Recorded(id ID) bool {
	known := p.lookup(id)
	if known == nil || known.state != recording {
		return false
	}
	known.state = running
	return true
}

// RecordLost takes the news that the backup did not acknowledge id: it is
// dead, cut off, or fenced the home. It closes the home and the id, and
// returns the answer.
func (p *Primary) RecordLost(id ID) *Answer {
	p.CloseHome(id.Home)
	return p.End(id, refusedHomeClosed())
}

// CloseHome stops a home from taking new submissions, for good.
func (p *Primary) CloseHome(home Home) {
	if h := p.homes[home.Epoch]; h != nil && h.home == home {
		h.closed = true
	}
}

// CloseAll stops every home from taking new submissions, for a planned stop.
func (p *Primary) CloseAll() { p.closeAll() }

// End keeps the answer to id and returns the answer that counts: the first.
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

// Answer returns the kept answer to id, or nil, and whether id is known.
func (p *Primary) Answer(id ID) (answer *Answer, known bool) {
	found := p.lookup(id)
	if found == nil {
		return nil, false
	}
	return found.answer, true
}

// Each calls fn for every ended id whose home has a backup, for the handover
// at a planned stop.
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

// Homes returns the homes that are remembered.
func (p *Primary) Homes() []Home {
	homes := make([]Home, 0, len(p.homes))
	for _, h := range p.homes {
		homes = append(homes, h.home)
	}
	return homes
}

// Len returns the number of ids that are remembered.
func (p *Primary) Len() int { return p.ids }

// find returns the home's memory, or the answer to every id under a home
// that is not remembered.
func (p *Primary) find(home Home) (*primaryHome, *Answer) {
	h := p.homes[home.Epoch]
	if h != nil && h.home == home {
		return h, nil
	}
	if home.Epoch < p.low {
		return nil, unknownForgotten()
	}
	// This incarnation never minted it, so nothing ever ran under it.
	return nil, refusedHomeClosed()
}

func (p *Primary) lookup(id ID) *entry {
	h := p.homes[id.Home.Epoch]
	if h == nil || h.home != id.Home {
		return nil
	}
	return h.entries[id.Part]
}

func (p *Primary) isYoung(h *primaryHome, now time.Duration) bool {
	return !h.closed && now-h.mintedAt <= p.policy.HomeLife/2
}

func (p *Primary) closeAll() {
	for _, h := range p.homes {
		h.closed = true
	}
}

// evict drops homes older than the retention, in the order of their epochs.
// A home with a job under way stays, and so do those after it.
func (p *Primary) evict(now time.Duration) {
	for p.low <= p.last {
		h := p.homes[p.low]
		if h != nil {
			if now-h.mintedAt <= p.policy.Retention || h.isBusy() {
				return
			}
			p.ids -= len(h.entries)
			delete(p.homes, p.low)
		}
		p.low++
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
