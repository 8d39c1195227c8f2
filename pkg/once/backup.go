package once

import "time"

// Ack is a backup's reply to a record.
type Ack uint8

// Replies to a record.
const (
	Acked       Ack = iota + 1 // recorded
	Fenced                     // the home is fenced or evicted: the primary must not start the id
	WrongBackup                // the id names another incarnation as backup
	Full                       // MaxIDs is reached
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

// Backup holds the ids recorded by one process for the primaries that named it
// as their backup. It is not safe for concurrent use.
type Backup struct {
	self     Incarnation
	policy   Policy
	homes    map[homeKey]*backupHome
	minEpoch map[Incarnation]uint64 // by primary: epochs below it are evicted
	ids      int
}

// NewBackup returns the empty Backup of a process that has just started.
func NewBackup(self Incarnation, policy Policy) *Backup {
	return &Backup{self: self, policy: policy, homes: map[homeKey]*backupHome{}, minEpoch: map[Incarnation]uint64{}}
}

// Record records id before its primary starts it. It is idempotent.
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

// Copy stores the primary's answer to a recorded id. It ignores other ids: at a
// planned stop, a primary also sends answers to refused ids, which were never
// recorded.
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

// Fence closes the home of id permanently and returns an answer to id: the
// primary's answer if there is a copy, Failed if id was recorded, Refused if it
// was not, and Unknown if its home was evicted or id names another backup. A
// digest of 0 matches every body.
func (b *Backup) Fence(id ID, digest uint64, now time.Duration) *Answer {
	if id.Home.Backup != b.self {
		return forgottenAnswer()
	}
	b.evict(now)
	h := b.open(id.Home, now)
	if h == nil {
		return forgottenAnswer()
	}
	h.fenced = true
	known := h.entries[id.Part]
	if known == nil {
		return homeClosedAnswer()
	}
	if known.state != ended {
		return mayHaveRunAnswer()
	}
	if digest != 0 && known.digest != digest {
		return idReusedAnswer()
	}
	return known.answer
}

// FenceHome closes a home permanently. Its primary requests this at a planned
// stop.
func (b *Backup) FenceHome(home Home, now time.Duration) {
	if home.Backup != b.self {
		return
	}
	if h := b.open(home, now); h != nil {
		h.fenced = true
	}
}

// Len returns the number of recorded ids.
func (b *Backup) Len() int { return b.ids }

// open returns the entries of a home and creates them if the home is new. It
// returns nil if the home was evicted.
func (b *Backup) open(home Home, now time.Duration) *backupHome {
	if home.Epoch < b.minEpoch[home.Primary] {
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

// evict removes homes whose records are all older than the retention. The
// primary counts the retention from the minting of a home, and the backup from
// the first request for it. The sum of HomeLife and Retention covers records of
// the home's last submissions.
func (b *Backup) evict(now time.Duration) {
	for key, h := range b.homes {
		if now-h.firstSeen <= b.policy.HomeLife+b.policy.Retention {
			continue
		}
		b.ids -= len(h.entries)
		delete(b.homes, key)
		// An entry is kept for each primary that ever named this process: an
		// evicted home must never be taken for a new one.
		b.minEpoch[key.primary] = max(b.minEpoch[key.primary], key.epoch+1)
	}
}
