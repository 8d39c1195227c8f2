// Package platformd is a stand-in for the platform's services, for tests and
// for trying foxcroft out. It keeps everything in memory, and its faults are
// switches.
package platformd

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/platform"
)

// Faults are the switches of the stand-in.
type Faults struct {
	Down        bool `json:"down"`         // answer nothing
	SlowMS      int  `json:"slow_ms"`      // wait so long before each call
	LoseAnswers int  `json:"lose_answers"` // the next N writes take effect but their answers are lost
	FailAnswers int  `json:"fail_answers"` // the next N writes take effect and are answered by an error that doesn't say so
	FailCalls   int  `json:"fail_calls"`   // the next N calls fail without effect
	StaleList   bool `json:"stale_list"`   // the host list stays as it is now
	ListDown    bool `json:"list_down"`    // the host list is not to be had
}

// Counters counts the calls that were served.
type Counters struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

type storedRow struct {
	row     platform.Row
	expires time.Duration // by the clock; 0 for never
}

// Store is the state of the stand-in.
type Store struct {
	clock common.Clock

	mu       sync.Mutex
	rows     map[string]storedRow
	objects  map[string][]byte
	hosts    map[string]platform.Host
	stale    []platform.Host
	faults   Faults
	counters Counters
}

// NewStore makes an empty store.
func NewStore(clock common.Clock) *Store {
	return &Store{clock: clock, rows: map[string]storedRow{}, objects: map[string][]byte{}, hosts: map[string]platform.Host{}}
}

// SetFaults sets the switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleList && !s.faults.StaleList {
		s.stale = s.listHosts()
	}
	s.faults = f
}

// Counters returns the calls served so far.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetHost adds or changes a host of the list.
func (s *Store) SetHost(host platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[host.Name] = host
}

// RemoveHost takes a host off the list.
func (s *Store) RemoveHost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, name)
}

func (s *Store) get(key string) (platform.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live(key)
}

func (s *Store) live(key string) (platform.Row, bool) {
	stored, ok := s.rows[key]
	if ok && stored.expires != 0 && s.clock.Now() > stored.expires {
		delete(s.rows, key)
		return platform.Row{}, false
	}
	return stored.row, ok
}

func (s *Store) scan(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []platform.Row{}
	for key := range s.rows {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if row, ok := s.live(key); ok {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// commit does all writes or none, and reports whether it did.
func (s *Store) commit(writes []platform.Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		row, _ := s.live(w.Key)
		if row.Version != w.Expect {
			return false
		}
	}
	for _, w := range writes {
		stored := storedRow{row: platform.Row{Key: w.Key, Value: w.Value, Version: w.Expect + 1}}
		if w.Expires > 0 {
			stored.expires = s.clock.Now() + w.Expires
		}
		s.rows[w.Key] = stored
	}
	return true
}

func (s *Store) putObject(digest string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[digest] = body
}

func (s *Store) getObject(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[digest]
	return body, ok
}

// hostList returns the list as a caller sees it, and whether it can be had.
func (s *Store) hostList() ([]platform.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ListDown {
		return nil, false
	}
	if s.faults.StaleList {
		return s.stale, true
	}
	return s.listHosts(), true
}

func (s *Store) listHosts() []platform.Host {
	hosts := make([]platform.Host, 0, len(s.hosts))
	for _, host := range s.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}
