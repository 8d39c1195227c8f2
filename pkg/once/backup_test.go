package once

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

func TestBackupFence(t *testing.T) {
	self := Incarnation{2}
	home := Home{Domain: "d", Primary: Incarnation{1}, Backup: self, Epoch: 3}
	id := ID{Home: home, Part: "x"}
	other := ID{Home: Home{Domain: "d", Primary: Incarnation{1}, Backup: Incarnation{8}, Epoch: 3}, Part: "x"}
	forgotten := testPolicy.HomeLife + testPolicy.Retention + time.Second
	scenarios := []struct {
		testName string
		before   func(b *Backup)
		id       ID
		digest   uint64
		now      time.Duration
		outcome  Outcome
		kind     errkind.Kind
	}{
		{"not recorded", func(*Backup) {}, id, 1, 0, Refused, errkind.HomeClosed},
		{"recorded", func(b *Backup) { b.Record(id, 1, 0) }, id, 1, 0, Failed, errkind.MayHaveRun},
		{"recorded and answered", func(b *Backup) { b.Record(id, 1, 0); b.Copy(id, complete()) }, id, 1, 0, Complete, ""},
		{"answered, another body", func(b *Backup) { b.Record(id, 1, 0); b.Copy(id, complete()) }, id, 2, 0, Unknown, errkind.IDReused},
		{"answered, asked without a body", func(b *Backup) { b.Record(id, 1, 0); b.Copy(id, complete()) }, id, 0, 0, Complete, ""},
		{"a copy without a record is dropped", func(b *Backup) { b.Copy(id, complete()) }, id, 1, 0, Refused, errkind.HomeClosed},
		{"home evicted", func(b *Backup) { b.Record(id, 1, 0) }, id, 1, forgotten, Unknown, errkind.Forgotten},
		{"another host's", func(*Backup) {}, other, 1, 0, Unknown, errkind.Forgotten},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := NewBackup(self, testPolicy)
			s.before(b)
			answer := b.Fence(s.id, s.digest, s.now)
			qt.Assert(t, answer.Outcome, qt.Equals, s.outcome)
			qt.Assert(t, answer.Kind, qt.Equals, s.kind)
		})
	}
}

func TestBackupRecord(t *testing.T) {
	self := Incarnation{2}
	home := Home{Domain: "d", Primary: Incarnation{1}, Backup: self, Epoch: 3}
	id := ID{Home: home, Part: "x"}
	scenarios := []struct {
		testName string
		before   func(b *Backup)
		id       ID
		now      time.Duration
		expected Ack
	}{
		{"first", func(*Backup) {}, id, 0, Acked},
		{"again", func(b *Backup) { b.Record(id, 1, 0) }, id, 0, Acked},
		{"fenced by a request about another id", func(b *Backup) { b.Fence(ID{Home: home, Part: "y"}, 1, 0) }, id, 0, Fenced},
		{"fenced at a stop", func(b *Backup) { b.FenceHome(home, 0) }, id, 0, Fenced},
		{"another backup", func(*Backup) {}, ID{Home: Home{Primary: Incarnation{1}, Backup: Incarnation{9}, Epoch: 3}, Part: "x"}, 0, WrongBackup},
		{"full", func(b *Backup) {
			for _, part := range []string{"a", "b", "c"} {
				b.Record(ID{Home: home, Part: part}, 1, 0)
			}
		}, id, 0, Full},
		{"home evicted", func(b *Backup) { b.Record(id, 1, 0) }, id, testPolicy.HomeLife + testPolicy.Retention + 1, Fenced},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := NewBackup(self, testPolicy)
			s.before(b)
			qt.Assert(t, b.Record(s.id, 1, s.now), qt.Equals, s.expected)
		})
	}
}
