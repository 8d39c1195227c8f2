package confstore

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/foxcroft/foxcroft/pkg/standin/platformd"
	qt "github.com/frankban/quicktest"
)

const body = "[service s]\npool = p\n[pool p]\n[team t]\n"

func newStore(t *testing.T) (*Store, *platformd.Store) {
	backend := platformd.NewStore(&common.ManualClock{})
	server := httptest.NewServer(platformd.NewHandler(backend))
	t.Cleanup(server.Close)
	store := New(platform.NewHTTPClient(strings.TrimPrefix(server.URL, "http://")))
	store.pause = func(time.Duration) {}
	return store, backend
}

func TestApplyUnderFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		base     uint64
		body     string
		before   func(s *Store)
		faults   platformd.Faults
		expected errkind.Kind
		head     uint64
	}{
		{"first version", 0, body, func(*Store) {}, platformd.Faults{}, "", 1},
		{"answers lost, object and row", 0, body, func(*Store) {}, platformd.Faults{LoseAnswers: 2}, "", 1},
		{"answers lost for long", 0, body, func(*Store) {}, platformd.Faults{LoseAnswers: 12}, "", 1},
		{"errors after the effect, object and row", 0, body, func(*Store) {}, platformd.Faults{FailAnswers: 2}, "", 1},
		{"errors after the effect for long", 0, body, func(*Store) {}, platformd.Faults{FailAnswers: 12}, "", 1},
		{"slow and answers lost", 0, body, func(*Store) {}, platformd.Faults{LoseAnswers: 2, SlowMS: 2}, "", 1},
		{"errors after the effect, the object never confirmed", 0, body, func(*Store) {}, platformd.Faults{FailAnswers: 1000}, errkind.PlatformDown, 0},
		{"the object's answers lost, every time", 0, body, func(*Store) {}, platformd.Faults{LoseAnswers: 1000}, errkind.PlatformDown, 0},
		{"platform down", 0, body, func(*Store) {}, platformd.Faults{Down: true}, errkind.PlatformDown, 0},
		{"faulty body", 0, "[service s]\n", func(*Store) {}, platformd.Faults{}, errkind.BadConfig, 0},
		{"stale base", 0, body, func(s *Store) { mustApply(s, 0, "other") }, platformd.Faults{}, errkind.Conflict, 1},
		{"base ahead", 5, body, func(*Store) {}, platformd.Faults{}, errkind.Conflict, 0},
		{"next version", 1, body, func(s *Store) { mustApply(s, 0, "other") }, platformd.Faults{LoseAnswers: 2}, "", 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			store, backend := newStore(t)
			s.before(store)
			backend.SetFaults(s.faults)
			entry, err := store.Apply(context.Background(), s.base, []byte(s.body), Entry{ApplyID: "mine", Author: "me"})
			backend.SetFaults(platformd.Faults{})
			head, headErr := store.Head(context.Background())
			qt.Assert(t, headErr, qt.IsNil)
			qt.Assert(t, head.Version, qt.Equals, s.head)
			if s.expected != "" {
				qt.Assert(t, errkind.Of(err), qt.Equals, s.expected)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, entry, qt.Equals, head)
		})
	}
}

func mustApply(s *Store, base uint64, id string) {
	if _, err := s.Apply(context.Background(), base, []byte(body), Entry{ApplyID: id, Author: id}); err != nil {
		panic(err)
	}
}

// TestConflictNamesTheWinner: the loser of a race learns what changed since.
func TestConflictNamesTheWinner(t *testing.T) {
	store, _ := newStore(t)
	mustApply(store, 0, "other")
	_, err := store.Apply(context.Background(), 0, []byte(body), Entry{ApplyID: "mine"})
	qt.Assert(t, err, qt.ErrorMatches, `version 1 by other .* was applied since version 0; merge .* -base 1`)
}

// TestRace: of operators that apply on the same base exactly one succeeds,
// though answers are lost, and every success is in the history.
func TestRace(t *testing.T) {
	for _, operators := range []int{2, 8} {
		t.Run(fmt.Sprint(operators), func(t *testing.T) {
			store, backend := newStore(t)
			backend.SetFaults(platformd.Faults{LoseAnswers: operators, SlowMS: 1})
			var wait sync.WaitGroup
			wins := make(chan string, operators)
			for i := range operators {
				wait.Add(1)
				go func() {
					defer wait.Done()
					id := fmt.Sprint("operator", i)
					_, err := store.Apply(context.Background(), 0, []byte(body), Entry{ApplyID: id})
					if err == nil {
						wins <- id
						return
					}
					if errkind.Of(err) != errkind.Conflict {
						t.Errorf("operator %d: %v", i, err)
					}
				}()
			}
			wait.Wait()
			close(wins)
			qt.Assert(t, wins, qt.HasLen, 1)
			history, err := store.History(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, history, qt.HasLen, 1)
			qt.Assert(t, history[0].ApplyID, qt.Equals, <-wins)
		})
	}
}

// TestInterruptedApply: an apply that dies after any of its steps leaves the
// version as it was or wholly in force, and a later apply goes through.
func TestInterruptedApply(t *testing.T) {
	scenarios := []struct {
		testName string
		calls    int // of the platform that the apply lives to make
		version  uint64
	}{
		{"before the head is read", 0, 0},
		{"after the head is read", 1, 0},
		{"after the body is put", 2, 0},
		{"after the head is written", 3, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			store, _ := newStore(t)
			dying := New(&dyingPlatform{Platform: store.platform, left: s.calls})
			dying.pause = func(time.Duration) {}
			_, _ = dying.Apply(context.Background(), 0, []byte(body), Entry{ApplyID: "dead"})
			head, err := store.Head(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, head.Version, qt.Equals, s.version)
			mustApply(store, head.Version, "next")
		})
	}
}

// dyingPlatform fails all calls after the first few.
type dyingPlatform struct {
	platform.Platform
	left int
}

func (d *dyingPlatform) alive() error {
	d.left--
	if d.left < 0 {
		return errkind.New(errkind.PlatformDown, "", "dead")
	}
	return nil
}

func (d *dyingPlatform) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := d.alive(); err != nil {
		return platform.Row{}, err
	}
	return d.Platform.Get(ctx, key)
}

func (d *dyingPlatform) PutObject(ctx context.Context, digest string, body []byte) error {
	if err := d.alive(); err != nil {
		return err
	}
	return d.Platform.PutObject(ctx, digest, body)
}

func (d *dyingPlatform) Commit(ctx context.Context, writes []platform.Write) error {
	if err := d.alive(); err != nil {
		return err
	}
	return d.Platform.Commit(ctx, writes)
}
