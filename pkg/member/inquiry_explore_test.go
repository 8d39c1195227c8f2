package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// inquiryWorld simulates a domain whose hosts are cut from each other, or dead, and a store that all reach.
type inquiryWorld struct {
	random   *rand.Rand
	now      time.Duration
	hosts    []*inquiryHost
	rows     []writtenMark // in the order of their positions, which begin with 1
	writes   int           // since the last change of links
	underway []func() bool // writes that take effect later; each reports whether it has
}

// inquiryHost is a host of the world. Hosts of one group reach each other.
type inquiryHost struct {
	index    int
	group    int // 0: it is dead
	table    *Table
	position uint64
	nextRead time.Duration
}

type writtenMark struct {
	host int
	mark ContactMark
}

const (
	worldStep = 25 * time.Millisecond
	// readPause is between two reads of the rows, storeDelay at most that of a write.
	readPause  = 300 * time.Millisecond
	storeDelay = 200 * time.Millisecond
	// settledAfter is how long after a change of links who serves has to be right: the question of a host
	// that serves alone, its answer, and the last signs of hosts that are gone.
	settledAfter = aloneAskInterval + 2*IsolationLimit + time.Second
	// steadyFor is how long it has to stay so.
	steadyFor = 10 * time.Second
)

func inquiryHostName(index int) string { return string(rune('a' + index)) }

func newInquiryWorld(seed uint64, hosts int) *inquiryWorld {
	w := &inquiryWorld{random: rand.New(rand.NewPCG(seed, 0)), now: time.Second}
	w.rows = append(w.rows, writtenMark{host: -1})
	for i := range hosts {
		w.hosts = append(w.hosts, &inquiryHost{index: i})
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

// start starts a host that has just come up, with the rows of all.
func (w *inquiryWorld) start(h *inquiryHost) {
	self := Peer{Name: inquiryHostName(h.index), Domain: "z", Address: inquiryHostName(h.index)}
	self.Incarnation[0] = byte(h.index + 1)
	h.table = NewTable(self, nil, 2)
	var listed []ListedHost
	for i := range w.hosts {
		listed = append(listed, ListedHost{Name: inquiryHostName(i), Domain: "z", Address: inquiryHostName(i)})
	}
	h.table.SetListed(listed)
	h.table.aloneSince = w.now // the table's clock counts from the start of the process
	h.position = uint64(len(w.rows))
}

// regroup draws new groups, kills some hosts and starts others.
func (w *inquiryWorld) regroup() {
	groups := 1 + w.random.IntN(len(w.hosts)+1)
	for _, h := range w.hosts {
		wasDead := h.group == 0
		h.group = 1 + w.random.IntN(groups)
		if w.random.IntN(4) == 0 {
			h.group = 0
		}
		if wasDead && h.group > 0 {
			w.start(h)
		}
	}
	for _, h := range w.hosts {
		if h.group > 0 {
			w.link(h)
		}
	}
}

// link brings a host's links in line with the groups.
func (w *inquiryWorld) link(h *inquiryHost) {
	for _, other := range w.hosts {
		if other == h {
			continue
		}
		address := inquiryHostName(other.index)
		_, up := h.table.UpAt(address)
		switch reaches := other.group == h.group; {
		case reaches && !up:
			peer := Peer{Name: address, Domain: "z", Address: address}
			peer.Incarnation[0] = byte(other.index + 1)
			h.table.LinkUp(peer)
		case !reaches && up:
			h.table.LinkDown(address, w.now)
		}
	}
}

// write writes a host's mark after a while.
func (w *inquiryWorld) write(h *inquiryHost, mark ContactMark) {
	at := w.now + time.Duration(w.random.Int64N(int64(storeDelay)))
	w.underway = append(w.underway, func() bool {
		if w.now < at {
			return false
		}
		w.rows = append(w.rows, writtenMark{host: h.index, mark: mark})
		w.writes++
		return true
	})
}

// step lets each host do what is due.
func (w *inquiryWorld) step() {
	w.now += worldStep
	var left []func() bool
	for _, write := range w.underway {
		if !write() {
			left = append(left, write)
		}
	}
	w.underway = left
	for _, h := range w.hosts {
		if h.group == 0 {
			continue
		}
		w.read(h)
		if mark, asks := h.table.NextQuestion(h.position, w.now); asks {
			w.write(h, mark)
		}
	}
}

// read has a host read the rows that have changed.
func (w *inquiryWorld) read(h *inquiryHost) {
	if w.now < h.nextRead || h.position == uint64(len(w.rows)) {
		return
	}
	changed := w.rows[h.position:]
	h.position, h.nextRead = uint64(len(w.rows)), w.now+readPause
	latest := map[int]ContactMark{}
	for _, row := range changed {
		latest[row.host] = row.mark
	}
	answers := false
	for host, mark := range latest {
		if host != h.index {
			h.table.HandleMark(inquiryHostName(host), mark, h.position, w.now)
		}
	}
	for host, mark := range latest {
		cannot := func(Peer) bool { return false }
		answers = answers || host != h.index && mark.Asks > 0 && h.table.ShouldAnswer(inquiryHostName(host), cannot, w.now)
	}
	if answers {
		w.write(h, ContactMark{SeenUpTo: h.position})
	}
}

// problem returns what is wrong with who serves once the links have been the same for long.
func (w *inquiryWorld) problem() string {
	sizes, living, alone := map[int]int{}, 0, 0
	for _, h := range w.hosts {
		if h.group > 0 {
			sizes[h.group]++
			living++
		}
	}
	aloneServe := 0
	for _, h := range w.hosts {
		if h.group == 0 {
			continue
		}
		isIsolated := h.table.IsIsolated(w.now)
		if sizes[h.group] > 1 {
			if isIsolated {
				return inquiryHostName(h.index) + " is isolated among others"
			}
			continue
		}
		alone++
		if !isIsolated {
			aloneServe++
		}
	}
	switch {
	case alone < living && aloneServe > 0:
		return fmt.Sprintf("%d hosts that are cut off serve beside others that aren't", aloneServe)
	case alone == living && alone > 0 && aloneServe != 1:
		return fmt.Sprintf("%d of %d hosts serve that are all cut off from each other", aloneServe, alone)
	}
	return ""
}

// Guards against a host that is cut off and serves beside the others for longer than it takes to ask them,
// and against a domain in which none serves, whoever is cut off or dead.
func TestExploredCutOffHosts(t *testing.T) {
	const seeds, changes, hosts = 40, 12, 5
	for seed := range uint64(seeds) {
		w := newInquiryWorld(seed, hosts)
		for change := range changes {
			w.regroup()
			w.writes = 0
			began := w.now
			for w.now < began+settledAfter+steadyFor {
				w.step()
				if w.now < began+settledAfter {
					continue
				}
				if problem := w.problem(); problem != "" {
					t.Fatalf("seed %d, change %d, %s after it: %s", seed, change, w.now-began, problem)
				}
			}
			mostWrites := int((settledAfter + steadyFor) / time.Second * (hosts + answerers))
			qt.Assert(t, w.writes <= mostWrites, qt.IsTrue, qt.Commentf("seed %d, change %d: %d writes", seed, change, w.writes))
		}
	}
}

// Guards against a host of a domain that is cut off and serves for a moment during the cut, while the others
// reach each other and the store.
func TestExploredHostThatIsCutOffStaysIsolated(t *testing.T) {
	for seed := range uint64(100) {
		w := newInquiryWorld(seed, 5)
		for _, h := range w.hosts {
			h.group = 1
		}
		for _, h := range w.hosts {
			w.link(h)
		}
		cut := w.hosts[w.random.IntN(len(w.hosts))]
		cut.group = 2
		for _, h := range w.hosts {
			w.link(h)
		}
		for began := w.now; w.now < began+time.Minute; {
			w.step()
			qt.Assert(t, cut.table.IsIsolated(w.now), qt.IsTrue, qt.Commentf("seed %d, %s after the cut's begin", seed, w.now-began))
		}
	}
}

// Guards against a store that is busy with the questions and answers of hosts that are cut off at once.
func TestExploredWritesOfHostsThatAreCutOff(t *testing.T) {
	tests := []struct {
		hosts     int
		oneIn     int // hosts is cut off from all others
		perSecond int // writes at most
	}{
		{hosts: 9, oneIn: 6, perSecond: 8},
		{hosts: 9, oneIn: 1, perSecond: 8},
		{hosts: 40, oneIn: 6, perSecond: 8},
		{hosts: 40, oneIn: 1, perSecond: 8},
		{hosts: 200, oneIn: 6, perSecond: 20},
		{hosts: 200, oneIn: 1, perSecond: 20},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("one in %d of %d", test.oneIn, test.hosts), func(t *testing.T) {
			w := newInquiryWorld(1, test.hosts)
			for _, h := range w.hosts {
				h.group = 1
			}
			for _, h := range w.hosts {
				w.link(h)
			}
			for i := 0; i < test.hosts; i += test.oneIn {
				w.hosts[i].group = 2 + i
			}
			for _, h := range w.hosts {
				w.link(h)
			}
			most := 0
			for range 12 {
				w.writes = 0
				for end := w.now + time.Second; w.now < end; {
					w.step()
				}
				most = max(most, w.writes)
			}
			t.Logf("at most %d writes a second", most)
			qt.Assert(t, most <= test.perSecond, qt.IsTrue, qt.Commentf("%d writes a second", most))
		})
	}
}
