// Package rowlog decides which of the rows that can't be read are news: each is counted
// and logged once for each content that it has had, within bounds, however many such
// rows other writers leave in the store and however often the tables are read.
package rowlog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxcroft/foxcroft/pkg/catalog"
)

const (
	// mostRemembered bounds the rows that are remembered, at 36 bytes each (0.6 MB in all,
	// measured on the heap): a table of 10,000 of them is told once. Beyond that all are forgotten, and may be told again.
	mostRemembered = 16384
	// linesAtOnce and lineInterval bound the log: enough to see who writes them, while
	// other lines stay readable beside.
	linesAtOnce  = 20
	lineInterval = 10 * time.Second
)

// Log remembers the rows that were told. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	contents map[uint64]uint64 // by a checksum of table and key
	since    time.Duration     // when the interval of the lines began
	lines    int               // in it
	left     int               // rows that weren't logged since the last report
}

// New makes a log that remembers nothing.
func New() *Log {
	return &Log{contents: map[uint64]uint64{}}
}

// News is what should be told of some rows.
type News struct {
	Counted []catalog.Unreadable // rows that are new, or whose content is
	Logged  []catalog.Unreadable // the first of them, as far as the log has room
	Left    int                  // rows that weren't logged before now, for which there was no room
}

// Take takes rows of a table that were read at now.
func (l *Log) Take(table string, rows []catalog.Unreadable, now time.Duration) News {
	if len(rows) == 0 {
		return News{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var news News
	if now >= l.since+lineInterval {
		news.Left = l.left
		l.since, l.lines, l.left = now, 0, 0
	}
	for _, row := range rows {
		if l.remembers(table, row) {
			continue
		}
		news.Counted = append(news.Counted, row)
		if l.lines >= linesAtOnce {
			l.left++
			continue
		}
		l.lines++
		news.Logged = append(news.Logged, row)
	}
	return news
}

// remembers reports whether a row was told with the same content, and remembers it.
func (l *Log) remembers(table string, row catalog.Unreadable) bool {
	id := xxhash.Sum64String(table + "\x00" + row.Key)
	content, known := l.contents[id]
	if known && content == row.Content {
		return true
	}
	if !known && len(l.contents) >= mostRemembered {
		clear(l.contents)
	}
	l.contents[id] = row.Content
	return false
}
