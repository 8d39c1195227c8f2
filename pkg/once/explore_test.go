package once

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

// The explorer is a model checker: it visits every interleaving of the events
// of submissions under one home, within the budgets of a scenario, with the real
// Primary and Backup. Messages may be lost and reordered at any point.

// rules are the rules of the protocol. Tests disable each of them to show that
// the explorer detects its absence.
type rules struct {
	recordFirst     bool // the backup's acknowledgement precedes the start
	fence           bool // the backup fences the home before it answers
	closeID         bool // an id without an acknowledged record ends
	reportForgotten bool // ids under an evicted home are answered with Unknown
}

func allRules() rules {
	return rules{recordFirst: true, fence: true, closeID: true, reportForgotten: true}
}

type messageKind uint8

const (
	toPrimary messageKind = iota // a submission
	toOther                      // a submission to a host that is neither primary nor backup
	toBackup                     // a request for the answer to an id
	recordMsg
	ackMsg
	copyMsg
	fenceMsg
	answerMsg
)

type message struct {
	kind   messageKind
	part   int
	ack    Ack
	answer *Answer
}

func (m message) String() string {
	text := fmt.Sprintf("%d/%d/%d", m.kind, m.part, m.ack)
	if m.answer != nil {
		text += m.answer.Outcome.String() + string(m.answer.Kind)
	}
	return text
}

// budgets limit how often each event may occur on one path.
type budgets struct {
	submits, freezes, primaryKills, backupKills, stops, expiries, cancels, losses int
}

// part is the state of one submission outside the primary and the backup.
type part struct {
	waiting     int  // open requests at the primary
	recordOut   bool // the acknowledgement is outstanding
	starts      int  // by the primary of the home
	resubmitted bool // the caller received Refused and submitted under a new id
	complete    bool // the caller received all results
}

type world struct {
	rules       rules
	p           *Primary
	b           *Backup
	home        Home
	now         time.Duration
	alive       bool
	frozen      bool
	stopping    bool
	backupAlive bool
	left        budgets
	parts       []part
	messages    []message
}

var explorePolicy = Policy{HomeLife: 10, Retention: 100, MaxIDs: 100}

func newWorld(r rules, b budgets, parts int) *world {
	w := &world{rules: r, alive: true, backupAlive: true, left: b, parts: make([]part, parts)}
	primary, backup := Incarnation{1}, Incarnation{2}
	w.p = NewPrimary(primary, "d", explorePolicy)
	w.b = NewBackup(backup, explorePolicy)
	w.home, _ = w.p.Home(backup, 0)
	return w
}

func (w *world) id(i int) ID { return ID{Home: w.home, Part: string(rune('a' + i))} }

func (w *world) clone() *world {
	c := *w
	c.parts = append([]part(nil), w.parts...)
	c.messages = append([]message(nil), w.messages...)
	p, b := *w.p, *w.b
	p.homes = map[uint64]*primaryHome{}
	for epoch, h := range w.p.homes {
		copied := *h
		copied.entries = cloneEntries(h.entries)
		p.homes[epoch] = &copied
	}
	b.homes, b.minEpoch = map[homeKey]*backupHome{}, map[Incarnation]uint64{}
	for key, h := range w.b.homes {
		copied := *h
		copied.entries = cloneEntries(h.entries)
		b.homes[key] = &copied
	}
	for inc, epoch := range w.b.minEpoch {
		b.minEpoch[inc] = epoch
	}
	c.p, c.b = &p, &b
	return &c
}

func cloneEntries(entries map[string]*entry) map[string]*entry {
	cloned := map[string]*entry{}
	for part, e := range entries {
		copied := *e
		cloned[part] = &copied
	}
	return cloned
}

// key identifies a state, so that no state is expanded twice.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.alive, w.frozen, w.stopping, w.backupAlive, w.left, w.parts, w.p.minEpoch, w.p.lastEpoch)
	for epoch, h := range w.p.homes {
		fmt.Fprint(&b, "P", epoch, h.closed, entriesKey(h.entries))
	}
	for key, h := range w.b.homes {
		fmt.Fprint(&b, "B", key.epoch, h.fenced, h.firstSeen, entriesKey(h.entries))
	}
	texts := make([]string, len(w.messages))
	for i, m := range w.messages {
		texts[i] = m.String()
	}
	sort.Strings(texts)
	return b.String() + strings.Join(texts, ",")
}

func entriesKey(entries map[string]*entry) string {
	var texts []string
	for part, e := range entries {
		text := fmt.Sprint(part, e.state)
		if e.answer != nil {
			text += e.answer.Outcome.String()
		}
		texts = append(texts, text)
	}
	sort.Strings(texts)
	return strings.Join(texts, " ")
}

// action is an event that can occur next.
type action struct {
	name string
	do   func(*world)
}

func (w *world) actions() []action {
	var actions []action
	add := func(enabled bool, name string, do func(*world)) {
		if enabled {
			actions = append(actions, action{name, do})
		}
	}
	serving := w.alive && !w.frozen
	for i := range w.parts {
		add(w.left.submits > 0, fmt.Sprint("submit to primary ", i), func(w *world) { w.submit(toPrimary, i) })
		add(w.left.submits > 0, fmt.Sprint("submit to another ", i), func(w *world) { w.submit(toOther, i) })
		e := w.p.lookup(w.id(i))
		add(serving && w.parts[i].recordOut, fmt.Sprint("record times out ", i), func(w *world) { w.recordLost(i) })
		add(serving && e != nil && e.state == running && w.parts[i].starts == 0, fmt.Sprint("start ", i), func(w *world) { w.parts[i].starts++ })
		add(serving && e != nil && e.state == running && w.parts[i].starts > 0, fmt.Sprint("finish ", i), func(w *world) { w.finish(i) })
		add(serving && e != nil && e.state != ended && w.left.cancels > 0, fmt.Sprint("cancel ", i), func(w *world) { w.cancel(i) })
	}
	add(serving && w.left.freezes > 0, "freeze", func(w *world) { w.left.freezes--; w.frozen = true })
	add(w.alive && w.frozen, "wake", func(w *world) { w.frozen = false })
	add(w.alive && w.left.primaryKills > 0, "kill primary", func(w *world) { w.left.primaryKills--; w.alive = false })
	add(w.backupAlive && w.left.backupKills > 0, "kill backup", func(w *world) { w.left.backupKills--; w.backupAlive = false })
	add(serving && !w.stopping && w.left.stops > 0, "stop", func(w *world) { w.left.stops--; w.stopping = true; w.p.CloseAll() })
	add(serving && w.stopping && w.idle(), "hand over", (*world).handOver)
	add(w.left.expiries > 0, "home expires", func(w *world) { w.left.expiries--; w.now += explorePolicy.HomeLife + 1 })
	add(w.left.expiries > 0, "retention expires", func(w *world) { w.left.expiries--; w.now += 3 * explorePolicy.Retention })
	seen := map[string]bool{}
	for i, m := range w.messages {
		if seen[m.String()] {
			continue
		}
		seen[m.String()] = true
		add(!w.frozen || !m.forPrimary(), "deliver "+m.String(), func(w *world) { w.removeMessage(i); w.deliver(m) })
		add(w.left.losses > 0, "lose "+m.String(), func(w *world) { w.left.losses--; w.removeMessage(i) })
	}
	return actions
}

func (m message) forPrimary() bool { return m.kind == toPrimary || m.kind == ackMsg }

func (w *world) removeMessage(i int) {
	w.messages = append(append([]message(nil), w.messages[:i]...), w.messages[i+1:]...)
}

func (w *world) send(m message) { w.messages = append(w.messages, m) }

func (w *world) submit(kind messageKind, i int) {
	w.left.submits--
	w.send(message{kind: kind, part: i})
}

func (w *world) idle() bool {
	for i := range w.parts {
		if e := w.p.lookup(w.id(i)); e != nil && e.state != ended {
			return false
		}
	}
	return true
}

func (w *world) deliver(m message) {
	switch m.kind {
	case toPrimary:
		if w.alive {
			w.submitAtPrimary(m.part)
		}
	case toOther:
		// The host relays the job to the primary, or suspects the primary and
		// turns to the backup. Sending both messages covers both cases, as each
		// may be lost.
		w.send(message{kind: toPrimary, part: m.part})
		w.send(message{kind: toBackup, part: m.part})
	case toBackup:
		if w.backupAlive {
			w.fenceAtBackup(m.part)
		}
	case recordMsg:
		if w.backupAlive {
			w.send(message{kind: ackMsg, part: m.part, ack: w.b.Record(w.id(m.part), 1, w.now)})
		}
	case ackMsg:
		if w.alive {
			w.receiveAck(m.part, m.ack)
		}
	case copyMsg:
		if w.backupAlive {
			w.b.Copy(w.id(m.part), m.answer)
		}
	case fenceMsg:
		if w.backupAlive {
			w.b.FenceHome(w.home, w.now)
		}
	case answerMsg:
		w.receiveAnswer(m.part, m.answer)
	}
}

func (w *world) submitAtPrimary(i int) {
	verdict, answer := w.p.Submit(w.id(i), 1, w.now)
	if !w.rules.reportForgotten && answer != nil && answer.Outcome == Unknown {
		answer = homeClosedAnswer()
	}
	switch verdict {
	case Answered:
		w.send(message{kind: answerMsg, part: i, answer: answer})
		return
	case Record:
		w.parts[i].recordOut = true
		w.send(message{kind: recordMsg, part: i})
		if !w.rules.recordFirst {
			w.p.Recorded(w.id(i))
		}
	}
	w.parts[i].waiting++
}

func (w *world) fenceAtBackup(i int) {
	h := w.b.homes[homeKey{w.home.Primary, w.home.Epoch}]
	wasFenced := h != nil && h.fenced
	answer := w.b.Fence(w.id(i), 1, w.now)
	if h = w.b.homes[homeKey{w.home.Primary, w.home.Epoch}]; !w.rules.fence && h != nil {
		h.fenced = wasFenced
	}
	w.send(message{kind: answerMsg, part: i, answer: answer})
}

func (w *world) receiveAck(i int, ack Ack) {
	if !w.parts[i].recordOut {
		return
	}
	if ack != Acked {
		w.recordLost(i)
		return
	}
	w.parts[i].recordOut = false
	w.p.Recorded(w.id(i))
}

func (w *world) recordLost(i int) {
	w.parts[i].recordOut = false
	if !w.rules.recordFirst && w.parts[i].starts > 0 {
		return
	}
	if w.rules.closeID {
		w.reply(i, w.p.RecordLost(w.id(i)))
		return
	}
	delete(w.p.homes[w.home.Epoch].entries, w.id(i).Part)
	w.reply(i, homeClosedAnswer())
}

func (w *world) finish(i int) {
	answer := w.p.End(w.id(i), &Answer{Outcome: Complete, Results: [][]byte{{byte(i)}, {byte(i)}}})
	w.send(message{kind: copyMsg, part: i, answer: answer})
	w.reply(i, answer)
}

func (w *world) cancel(i int) {
	w.left.cancels--
	outcome := Refused
	if w.parts[i].starts > 0 {
		outcome = Failed
	}
	w.reply(i, w.p.End(w.id(i), NewAnswer(outcome, errkind.New(errkind.Cancelled, "", "cancelled"))))
}

func (w *world) reply(i int, answer *Answer) {
	for ; w.parts[i].waiting > 0; w.parts[i].waiting-- {
		w.send(message{kind: answerMsg, part: i, answer: answer})
	}
}

func (w *world) handOver() {
	w.p.Each(func(id ID, answer *Answer) {
		w.send(message{kind: copyMsg, part: int(id.Part[0] - 'a'), answer: answer})
	})
	w.send(message{kind: fenceMsg})
	w.alive = false
}

func (w *world) receiveAnswer(i int, answer *Answer) {
	switch answer.Outcome {
	case Refused:
		w.parts[i].resubmitted = true
	case Complete:
		w.parts[i].complete = len(answer.Results) == 2 && answer.Results[0][0] == byte(i)
		if !w.parts[i].complete {
			panic("partial answer, or an answer to another submission")
		}
	case Failed, Unknown:
	}
}

// fault returns the invariant that a state violates, or "".
func (w *world) fault() string {
	for i, s := range w.parts {
		switch {
		case s.starts > 1 || s.starts == 1 && s.resubmitted:
			return fmt.Sprintf("submission %d started twice, or started although its caller received Refused", i)
		case s.complete && s.starts == 0:
			return fmt.Sprintf("submission %d is complete but never started", i)
		case s.waiting > 0 && w.stuck(i):
			return fmt.Sprintf("submission %d never receives an answer", i)
		}
	}
	return ""
}

// stuck reports whether a live primary has no pending step for a submission.
func (w *world) stuck(i int) bool {
	e := w.p.lookup(w.id(i))
	return w.alive && !w.parts[i].recordOut && (e == nil || e.state != running)
}

type exploration struct {
	states int
	fault  string
	path   []string
}

// explore visits all reachable states breadth-first, up to limit. It stops at
// the first fault and returns the path to it.
func explore(start *world, limit int) exploration {
	type node struct {
		w    *world
		path *step
	}
	seen := map[string]bool{start.key(): true}
	queue := []node{{w: start}}
	for len(queue) > 0 && len(seen) < limit {
		n := queue[0]
		queue = queue[1:]
		for _, a := range n.w.actions() {
			next := n.w.clone()
			a.do(next)
			path := &step{a.name, n.path}
			if fault := next.fault(); fault != "" {
				return exploration{states: len(seen), fault: fault, path: path.names()}
			}
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, node{next, path})
			}
		}
	}
	return exploration{states: len(seen)}
}

type step struct {
	name   string
	before *step
}

func (s *step) names() []string {
	if s == nil {
		return nil
	}
	return append(s.before.names(), s.name)
}

const exploreLimit = 60_000

func TestExploreInterleavings(t *testing.T) {
	scenarios := []struct {
		testName string
		budgets  budgets
		parts    int
	}{
		{"freeze, false suspicion and lost messages", budgets{submits: 3, freezes: 1, losses: 2}, 1},
		{"primary killed", budgets{submits: 3, primaryKills: 1, losses: 1}, 1},
		{"backup killed while the primary is frozen", budgets{submits: 2, freezes: 1, backupKills: 1, losses: 1}, 1},
		{"kill during a planned stop", budgets{submits: 3, stops: 1, primaryKills: 1, losses: 1}, 1},
		{"home and retention expire", budgets{submits: 3, expiries: 2, freezes: 1}, 1},
		{"cancelled during freeze, kill and loss", budgets{submits: 2, cancels: 1, freezes: 1, primaryKills: 1, losses: 1}, 1},
		{"two concurrent submissions", budgets{submits: 3, freezes: 1, losses: 1}, 2},
		{"each event once", budgets{submits: 2, freezes: 1, primaryKills: 1, backupKills: 1, stops: 1, expiries: 1, cancels: 1, losses: 1}, 1},
	}
	total := 0
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			found := explore(newWorld(allRules(), s.budgets, s.parts), exploreLimit)
			qt.Assert(t, found.fault, qt.Equals, "", qt.Commentf("path: %q", found.path))
			total += found.states
			t.Logf("%d states", found.states)
		})
	}
	t.Logf("%d states in total", total)
}

// Guards against an explorer that overlooks a violated rule: with any one rule
// disabled, it must find a fault.
func TestExploreFindsMissingRules(t *testing.T) {
	scenarios := []struct {
		testName string
		disable  func(*rules)
		budgets  budgets
	}{
		{"record before start", func(r *rules) { r.recordFirst = false }, budgets{submits: 2, primaryKills: 1, losses: 1}},
		{"fence", func(r *rules) { r.fence = false }, budgets{submits: 2, losses: 1}},
		{"end of an id without a record", func(r *rules) { r.closeID = false }, budgets{submits: 2, losses: 1}},
		{"reporting an evicted home", func(r *rules) { r.reportForgotten = false }, budgets{submits: 2, expiries: 1}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			intact := explore(newWorld(allRules(), s.budgets, 1), exploreLimit)
			qt.Assert(t, intact.fault, qt.Equals, "", qt.Commentf("path: %q", intact.path))
			mutant := allRules()
			s.disable(&mutant)
			found := explore(newWorld(mutant, s.budgets, 1), exploreLimit)
			qt.Assert(t, found.fault, qt.Not(qt.Equals), "")
			t.Logf("after %d states: %s: %q", found.states, found.fault, found.path)
		})
	}
}
