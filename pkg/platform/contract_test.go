package platform_test

import (
	"context"
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

// newPlatformFunc makes an empty platform and a function that injects faults into it.
type newPlatformFunc func(t *testing.T) (platform.Platform, func(platformd.Faults))

// TestContract runs the contract of platform.Platform for each implementation.
func TestContract(t *testing.T) {
	implementations := []struct {
		testName    string
		newPlatform newPlatformFunc
	}{
		{"http client and stand-in", newStandin},
	}
	for _, implementation := range implementations {
		t.Run(implementation.testName, func(t *testing.T) { runContract(t, implementation.newPlatform) })
	}
}

func newStandin(t *testing.T) (platform.Platform, func(platformd.Faults)) {
	store := platformd.NewStore(&common.ManualClock{})
	return serve(t, store), store.SetFaults
}

func serve(t *testing.T, store *platformd.Store) platform.Platform {
	server := httptest.NewServer(platformd.NewHandler(store))
	t.Cleanup(server.Close)
	return platform.NewHTTPClient(strings.TrimPrefix(server.URL, "http://"))
}

func runContract(t *testing.T, newPlatform newPlatformFunc) {
	scenarios := []struct {
		testName string
		faults   platformd.Faults
		run      func(t *testing.T, p platform.Platform, set func(platformd.Faults))
	}{
		{"a transaction does all or nothing", platformd.Faults{}, allOrNothing},
		{"one of several concurrent writers wins", platformd.Faults{}, oneWins},
		{"one of several concurrent writers wins on a slow platform", platformd.Faults{SlowMS: 5}, oneWins},
		{"a missing row or object is not found", platformd.Faults{}, notFound},
		{"objects are returned unchanged", platformd.Faults{}, objects},
		{"reads fail while the platform is down", platformd.Faults{Down: true}, downReads},
		{"an error without effect", platformd.Faults{FailCalls: 1}, failedWrite},
		{"an answer lost after the effect", platformd.Faults{LoseAnswers: 1}, lostAnswer},
		{"an answer lost on a slow platform", platformd.Faults{LoseAnswers: 1, SlowMS: 5}, lostAnswer},
		{"an error after the effect", platformd.Faults{FailAnswers: 1}, lostAnswer},
		{"the list is down, the table is up", platformd.Faults{ListDown: true}, listDown},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			p, set := newPlatform(t)
			set(s.faults)
			s.run(t, p, set)
		})
	}
}

func write(key, value string, expect uint64) []platform.Write {
	return []platform.Write{{Key: key, Value: []byte(value), Expect: expect}}
}

func allOrNothing(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	ctx := context.Background()
	qt.Assert(t, p.Commit(ctx, append(write("a", "1", 0), write("b", "1", 0)...)), qt.IsNil)
	err := p.Commit(ctx, append(write("a", "2", 1), write("b", "2", 7)...))
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.Conflict)
	rows, err := p.Scan(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.DeepEquals, []platform.Row{{Key: "a", Value: []byte("1"), Version: 1}, {Key: "b", Value: []byte("1"), Version: 1}})
}

func oneWins(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	const writers = 8
	var wait sync.WaitGroup
	results := make(chan error, writers)
	for range writers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results <- p.Commit(context.Background(), write("a", "x", 0))
		}()
	}
	wait.Wait()
	close(results)
	wins := 0
	for err := range results {
		if err == nil {
			wins++
			continue
		}
		qt.Assert(t, errkind.Of(err), qt.Equals, errkind.Conflict)
	}
	qt.Assert(t, wins, qt.Equals, 1)
}

func notFound(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	_, err := p.Get(context.Background(), "a")
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.NotFound)
	_, err = p.GetObject(context.Background(), "00")
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.NotFound)
}

func objects(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	ctx := context.Background()
	for range 2 {
		qt.Assert(t, p.PutObject(ctx, "d1", []byte("body")), qt.IsNil)
	}
	body, err := p.GetObject(ctx, "d1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "body")
}

func downReads(t *testing.T, p platform.Platform, set func(platformd.Faults)) {
	ctx := context.Background()
	_, err := p.Get(ctx, "a")
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.PlatformDown)
	_, err = p.Hosts(ctx)
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.PlatformDown)
	set(platformd.Faults{})
	_, err = p.Hosts(ctx)
	qt.Assert(t, err, qt.IsNil)
}

func failedWrite(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	ctx := context.Background()
	qt.Assert(t, errkind.Of(p.Commit(ctx, write("a", "1", 0))), qt.Equals, errkind.PlatformDown)
	_, err := p.Get(ctx, "a")
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.NotFound)
}

func lostAnswer(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	ctx := context.Background()
	qt.Assert(t, errkind.Of(p.Commit(ctx, write("a", "1", 0))), qt.Equals, errkind.PlatformMaybe)
	row, err := p.Get(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row.Version, qt.Equals, uint64(1))
}

func listDown(t *testing.T, p platform.Platform, _ func(platformd.Faults)) {
	ctx := context.Background()
	_, err := p.Hosts(ctx)
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.PlatformDown)
	qt.Assert(t, p.Commit(ctx, write("a", "1", 0)), qt.IsNil)
}

func TestRowsExpire(t *testing.T) {
	clock := &common.ManualClock{}
	p := serve(t, platformd.NewStore(clock))
	ctx := context.Background()
	qt.Assert(t, p.Commit(ctx, []platform.Write{{Key: "a", Expires: time.Minute}}), qt.IsNil)
	clock.At = time.Minute + 1
	rows, err := p.Scan(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 0)
}

func TestStaleList(t *testing.T) {
	store := platformd.NewStore(&common.ManualClock{})
	p := serve(t, store)
	store.SetHost(platform.Host{Name: "a"})
	store.SetFaults(platformd.Faults{StaleList: true})
	store.SetHost(platform.Host{Name: "a", Leaving: true})
	hosts, err := p.Hosts(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hosts, qt.DeepEquals, []platform.Host{{Name: "a"}})
}
