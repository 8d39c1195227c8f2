package once

import "time"

// Ack is a backup's reply to a record.
type Ack uint8

// The replies to a record.
const (
	Acked       Ack = iota + 1 // remembered
	Fenced                     // the home is fenced: the primary must not start the id
	WrongBackup                // the record names another incarnation as backup
	Full                       // no room to remember
)

type backupHome struct {
	firstSeen time.Duration
	fenced    bool
	entries   map[string]*entry
}

type homeKey struct {
	primary Incarnation
	epoch   uint64
}

// Backup is the memory that one process keeps for the primaries that named it
// as their backup. It is not safe for concurrent use.
type Backup struct {
	self   Incarnation
	policy Policy
	homes  map[homeKey]*backupHome
	low    map[Incarnation]uint64 // by primary: epochs below it are evicted
	ids    int
}

// NewBackup makes the memory of a process that just started.
func NewBackup(self Incarnation, policy Policy) *Backup {
	return &Backup{self: self, policy: policy, homes: map[homeKey]*backupHome{}, low: map[Incarnation]uint64{}}
}

// Record remembers id before its primary starts it. Recording an id again is
// acknowledged again.
func (b *Backup) Record(id ID, digest uint64, now time.Duration) Ack {
	if id.Home.Backup != b.self {
		return WrongBackup
	}
	b.evict(now)
	h := b.open(id.Home, now)
	if h == nil || h.fenced {
		return Fenced
	}
	if h.entries[id.Part] != nil {
		return Acked
	}
	if b.ids >= b.policy.MaxIDs {
		return Full
	}
	b.ids++
	h.entries[id.Part] = &entry{state: running, digest: digest}
	return Acked
}

// Copy keeps the primary's answer to a recorded id. At a planned stop it may
// also bring ids that were refused and so were never recorded.
func (b *Backup) Copy(id ID, answer *Answer) {
	h := b.homes[homeKey{id.Home.Primary, id.Home.Epoch}]
	if h == nil || id.Home.Backup != b.self {
		return
	}
	known := h.entries[id.Part]
	if known == nil || known.state == ended {
		return
	}
	known.state = ended
	known.answer = answer
}

// Fence closes the home of id for good and returns what may be said about id:
// its answer, or that it may have run, or that it did not run, or that the
// memory of its home is gone.
func (b *Backup) Fence(id ID, digest uint64, now time.Duration) *Answer {
	if id.Home.Backup != b.self {
		return unknownForgotten()
	}
	b.evict(now)
	h := b.open(id.Home, now)
	if h == nil {
		return unknownForgotten()
	}
	h.fenced = true
	known := h.entries[id.Part]
	if known == nil {
		return refusedHomeClosed()
	}
	if known.state != ended {
		return failedMayHaveRun()
	}
	if digest != 0 && known.digest != digest {
		return unknownIDReused()
	}
	return known.answer
}

// FenceHome closes a home for good, as its primary asks for at a planned stop.
func (b *Backup) FenceHome(home Home, now time.Duration) {
	if home.Backup != b.self {
		return
	}
	if h := b.open(home, now); h != nil {
		h.fenced = true
	}
}

// Len returns the number of ids that are remembered.
func (b *Backup) Len() int { return b.ids }

// open returns the memory of a home, made when it is new, or nil when it was
// evicted.
func (b *Backup) open(home Home, now time.Duration) *backupHome {
	if home.Epoch < b.low[home.Primary] {
		return nil
	}
	key := homeKey{home.Primary, home.Epoch}
	if h := b.homes[key]; h != nil {
		return h
	}
	h := &backupHome{firstSeen: now, entries: map[string]*entry{}}
	b.homes[key] = h
	return h
}

// evict drops homes whose records are all older than the retention. The
// primary counts from the minting of a home and the backup from its first
// sight, which is later by at most the home's life, hence the sum.
func (b *Backup) evict(now time.Duration) {
	for key, h := range b.homes {
		if now-h.firstSeen <= b.policy.HomeLife+b.policy.Retention {
			continue
		}
		b.ids -= len(h.entries)
		delete(b.homes, key)
		// low grows by 24 bytes a primary that ever named this process, and is
		// kept: a forgotten home must never be taken for a new one.
		b.low[key.primary] = max(b.low[key.primary], key.epoch+1)
	}
}
