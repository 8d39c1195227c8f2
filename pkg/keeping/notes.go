package keeping

import (
	"sync"
	"time"
)

// notes are the ends that owners are to be told of, collected for a moment so that
// one message tells an owner of many.
type notes struct {
	mu   sync.Mutex
	open map[noteKey]*noteGroup
}

// noteKey names the ends of a cell that came within the same notesTime.
type noteKey struct {
	cell string
	slot time.Duration
}

type noteGroup struct {
	due time.Duration
	ids []string
}

// notesTime is how long ends are collected.
const notesTime = 50 * time.Millisecond

func newNotes() *notes { return &notes{open: map[noteKey]*noteGroup{}} }

// add takes the end of a job that its owner may be told of from earliest on.
func (n *notes) add(cell, id string, earliest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := noteKey{cell: cell, slot: earliest / notesTime}
	group := n.open[key]
	if group == nil {
		group = &noteGroup{}
		n.open[key] = group
	}
	group.due = max(group.due, earliest)
	group.ids = append(group.ids, id)
}

// take returns the words that are due.
func (n *notes) take(now time.Duration) []OwnerNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var words []OwnerNotice
	for key, group := range n.open {
		if now >= (key.slot+1)*notesTime && now >= group.due {
			words = append(words, OwnerNotice{Cell: key.cell, IDs: group.ids})
			delete(n.open, key)
		}
	}
	return words
}

// waiting reports whether there are ends that owners are to be told of.
func (n *notes) waiting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.open) > 0
}
