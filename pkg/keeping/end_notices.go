package keeping

import (
	"sync"
	"time"
)

// endNotices collects the ends of which owners are to be notified, so that one message
// carries many.
type endNotices struct {
	mu   sync.Mutex
	open map[noticeKey]*noticeGroup
}

// noticeKey identifies the ends of a cell that fall into the same noticeInterval.
type noticeKey struct {
	cell string
	slot time.Duration
}

// noticeGroup are the ends that are sent in one notice.
type noticeGroup struct {
	due time.Duration // the latest of the earliest times of its ends
	ids []string
}

// noticeInterval is how long ends are collected.
const noticeInterval = 50 * time.Millisecond

func newEndNotices() *endNotices { return &endNotices{open: map[noticeKey]*noticeGroup{}} }

// add adds the end of a job, of which its owner may be notified from earliest on.
func (n *endNotices) add(cell, id string, earliest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := noticeKey{cell: cell, slot: earliest / noticeInterval}
	group := n.open[key]
	if group == nil {
		group = &noticeGroup{}
		n.open[key] = group
	}
	group.due = max(group.due, earliest)
	group.ids = append(group.ids, id)
}

// takeDue removes and returns the notices that are due.
func (n *endNotices) takeDue(now time.Duration) []OwnerNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var notices []OwnerNotice
	for key, group := range n.open {
		if now >= (key.slot+1)*noticeInterval && now >= group.due {
			notices = append(notices, OwnerNotice{Cell: key.cell, IDs: group.ids})
			delete(n.open, key)
		}
	}
	return notices
}

// pending reports whether there are ends of which owners must still be notified.
func (n *endNotices) pending() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.open) > 0
}
