package rowlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

func manyRows(count int) []catalog.Unreadable {
	rows := make([]catalog.Unreadable, count)
	for i := range rows {
		rows[i] = catalog.Unreadable{Key: fmt.Sprint("row-", i), Reason: catalog.NoDocument, Content: 1}
	}
	return rows
}

func TestARowIsLoggedOnceForEachContent(t *testing.T) {
	row := catalog.Unreadable{Key: "a", Reason: catalog.NoDocument, Content: 1}
	changed := row
	changed.Content = 2
	type scenario struct {
		testName string
		table    string
		row      catalog.Unreadable
		want     int
	}
	scenarios := []scenario{
		{testName: "the same again", table: "executors", row: row},
		{testName: "another content", table: "executors", row: changed, want: 1},
		{testName: "another table", table: "members", row: row, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			l := New()
			c.Assert(l.Take("executors", []catalog.Unreadable{row}, 0).Logged, qt.HasLen, 1)
			report := l.Take(s.table, []catalog.Unreadable{s.row}, time.Second)
			c.Assert(report.Logged, qt.HasLen, s.want)
			c.Assert(report.Counted, qt.HasLen, s.want)
		})
	}
}

func TestManyRowsFloodNeitherLogNorMemory(t *testing.T) {
	c := qt.New(t)
	l := New()
	rows := manyRows(10_000)
	first := l.Take("executors", rows, 0)
	c.Assert(first.Counted, qt.HasLen, 10_000)
	c.Assert(first.Logged, qt.HasLen, maxLinesPerInterval)
	again := l.Take("executors", rows, time.Second)
	c.Assert(again.Counted, qt.HasLen, 0, qt.Commentf("a repeated reading of the same rows"))

	next := l.Take("executors", manyRows(10_001), lineInterval)
	c.Assert(next.Logged, qt.HasLen, 1)
	c.Assert(next.Left, qt.Equals, 10_000-maxLinesPerInterval)

	l.Take("members", manyRows(20*maxRemembered), 0)
	c.Assert(len(l.contents) <= maxRemembered, qt.IsTrue)
}

// One row with another content at each reading must flood neither log nor memory.
func TestARowThatChangesAllTheTimeFloodsNeitherLogNorMemory(t *testing.T) {
	c := qt.New(t)
	l := New()
	logged := 0
	const readings = 20 * 3600 // an hour, one every 50 ms
	for i := range readings {
		row := catalog.Unreadable{Key: "a", Reason: catalog.Damaged, Content: uint64(i)}
		logged += len(l.Take("t", []catalog.Unreadable{row}, time.Duration(i)*50*time.Millisecond).Logged)
	}
	c.Assert(l.contents, qt.HasLen, 1)
	c.Assert(logged <= 3600/10*maxLinesPerInterval, qt.IsTrue, qt.Commentf("%d lines", logged))
}
