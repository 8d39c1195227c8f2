package route

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkShares measures the division of a domain's slots after a change of
// the membership or the configuration.
func BenchmarkShares(b *testing.B) {
	for _, n := range []int{17, 300, 3_300} {
		for _, hosts := range []int{3, 30} {
			b.Run(fmt.Sprintf("targets=%d/hosts=%d", n, hosts), func(b *testing.B) {
				owners := []string{"a"}
				for i := range hosts - 1 {
					owners = append(owners, fmt.Sprint("host-", i))
				}
				s := NewSlots("a", policy("shares"))
				list := targets(n, 8)
				for b.Loop() {
					s.lastDivision = division{}
					s.SetTargets(list, owners)
				}
			})
		}
	}
}

// BenchmarkAcquire measures acquiring and releasing a slot.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{17, 300, 3_300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			s := NewSlots("a", policy("shares"))
			s.SetTargets(targets(n, 8), []string{"a"})
			for b.Loop() {
				address, _ := s.Acquire(0, 0.5)
				s.Release(address, 0, Served, time.Second)
			}
		})
	}
}
