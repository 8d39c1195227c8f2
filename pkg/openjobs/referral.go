package openjobs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An owner that knows of a front that may hold a job open refers other fronts that hand the job over
// to that one, and accepts it from them once they have asked. What counts is what a front says that
// it has asked: the owner's answer may be lost, and the front may get the job again.

// Asked holds the fronts that a front has asked about a job to a final answer, and those of which no
// run can be alive by what they have announced. The values are times of this host's clock: what was
// announced until then is covered.
type Asked map[Front]time.Duration

// Merged returns the fronts of both. It changes neither.
func (a Asked) Merged(other Asked) Asked {
	if len(other) == 0 {
		return a
	}
	merged := Asked{}
	for _, asked := range []Asked{a, other} {
		for front, at := range asked {
			merged.add(front, at)
		}
	}
	return merged
}

func (a Asked) add(front Front, at time.Duration) {
	if known, isKnown := a[front]; !isKnown || at > known {
		a[front] = at
	}
}

// covers reports whether the holder was asked after it was last known to hold the job open.
func (a Asked) covers(h Holder) bool {
	at, isAsked := a[h.Front]
	return isAsked && h.Since <= at
}

// Sorted returns the fronts, sorted by address.
func (a Asked) Sorted() []Front { return slices.SortedFunc(maps.Keys(a), compareFronts) }

// Holder is a front that may hold a job open, as the owner of a cell knows.
type Holder struct {
	Front     Front
	Since     time.Duration // when the owner last learned that it does
	ExpiresAt time.Duration // no run of the job can be alive then
}

// Holders returns the fronts that have announced a job and whose runs of it may be alive.
func (t *Table) Holders(id string, now time.Duration) []Holder {
	var holders []Holder
	for _, e := range t.Find(id, now) {
		holders = append(holders, Holder{Front: e.Front, Since: e.recordedAt, ExpiresAt: e.ExpiresAt})
	}
	return holders
}

// MustAsk returns the front that a dispatcher has to ask before an owner accepts a job from it: the
// first of the holders that it has not asked since these were last known to hold the job open. It
// returns false if there is none, so that the owner may accept the job.
func MustAsk(dispatcher Front, asked Asked, holders []Holder, now time.Duration) (Holder, bool) {
	unasked := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool {
		return h.Front.Address == dispatcher.Address || now >= h.ExpiresAt || asked.covers(h)
	})
	if len(unasked) == 0 {
		return Holder{}, false
	}
	return slices.MinFunc(unasked, func(a, b Holder) int { return compareFronts(a.Front, b.Front) }), true
}

// LetsGoFirst reports whether a front whose job is at an owner lets another one go first, for which the
// owner of another cell has announced the same job: if nothing of its own has started, and otherwise
// by the order of ShouldYield. Owners announce jobs only once they may have started, so that one of
// two fronts goes on.
func LetsGoFirst(own, other Front, hasStarted bool) bool {
	return own.Address != other.Address && (!hasStarted || other.Address < own.Address)
}

func compareFronts(a, b Front) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Process, b.Process))
}
