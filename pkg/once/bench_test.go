package once

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkBytesPerID measures the memory per id: of an ended id at its primary,
// and of a recorded id at its backup.
func BenchmarkBytesPerID(b *testing.B) {
	for _, ids := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("primary/ids=%d", ids), func(b *testing.B) {
			measureIDs(b, ids, func(home Home) func(ID) {
				p := NewPrimary(home.Primary, home.Domain, Policy{HomeLife: 1, Retention: 1, MaxIDs: ids + 1})
				p.Home(home.Backup, 0)
				return func(id ID) {
					p.Submit(id, 1, 0)
					p.Recorded(id)
					p.End(id, endedAnswer)
				}
			})
		})
		b.Run(fmt.Sprintf("backup/ids=%d", ids), func(b *testing.B) {
			measureIDs(b, ids, func(home Home) func(ID) {
				backup := NewBackup(home.Backup, Policy{HomeLife: 1, Retention: 1, MaxIDs: ids + 1})
				return func(id ID) { backup.Record(id, 1, 0) }
			})
		})
	}
}

var endedAnswer = &Answer{Outcome: Complete}

func measureIDs(b *testing.B, ids int, newMemory func(home Home) func(ID)) {
	home := Home{Domain: "d", Primary: Incarnation{1}, Backup: Incarnation{2}, Epoch: 1}
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		add := newMemory(home)
		for i := range ids {
			add(ID{Home: home, Part: fmt.Sprintf("%032d", i)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(add)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(ids), "B/id")
	}
}
