// Package rowlog deduplicates and limits the log lines about unreadable rows. Each row is
// counted and logged once for each content, however often the tables are read, and
// memory and log lines stay bounded however many unreadable rows the store has.
package rowlog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxcroft/foxcroft/pkg/catalog"
)

const (
	// maxRemembered bounds the rows that are remembered. Beyond it all are forgotten, and
	// may be counted and logged again.
	maxRemembered = 16384
	// maxLinesPerInterval and lineInterval limit the rate of log lines. The limit leaves
	// enough lines to identify who writes the rows.
	maxLinesPerInterval = 20
	lineInterval        = 10 * time.Second
)

// Log remembers the rows that were reported. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	contents   map[uint64]uint64 // checksum of the content, by a checksum of table and key
	since      time.Duration     // start of the current interval
	lines      int               // logged in the current interval
	suppressed int               // rows not logged in the current interval
}

func New() *Log {
	return &Log{contents: map[uint64]uint64{}}
}

// News are the rows to count and to log.
type News struct {
	Counted []catalog.Unreadable // rows that are new or have a new content
	Logged  []catalog.Unreadable // the first of Counted, up to the rate limit
	Left    int                  // rows that the rate limit kept out of the log in the previous interval
}

// Take records the unreadable rows of a table that were read at now, and returns those
// to count and to log.
func (l *Log) Take(table string, rows []catalog.Unreadable, now time.Duration) News {
	if len(rows) == 0 {
		return News{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var report News
	if now >= l.since+lineInterval {
		report.Left = l.suppressed
		l.since, l.lines, l.suppressed = now, 0, 0
	}
	for _, row := range rows {
		if l.remember(table, row) {
			continue
		}
		report.Counted = append(report.Counted, row)
		if l.lines >= maxLinesPerInterval {
			l.suppressed++
			continue
		}
		l.lines++
		report.Logged = append(report.Logged, row)
	}
	return report
}

// remember records a row, and reports whether it was recorded with the same content
// before.
func (l *Log) remember(table string, row catalog.Unreadable) bool {
	id := xxhash.Sum64String(table + "\x00" + row.Key)
	content, known := l.contents[id]
	if known && content == row.Content {
		return true
	}
	if !known && len(l.contents) >= maxRemembered {
		clear(l.contents)
	}
	l.contents[id] = row.Content
	return false
}
