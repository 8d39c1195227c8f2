package entry

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/once"
)

// memory guards this host's state of submissions: its records as primary and as
// backup, and the jobs under way. Nothing blocks while its lock is held.
type memory struct {
	mu      sync.Mutex
	primary *once.Primary
	backup  *once.Backup
	jobs    map[once.ID]*job
}

func newMemory(self once.Incarnation, domain string, policy once.Policy) *memory {
	return &memory{
		primary: once.NewPrimary(self, domain, policy),
		backup:  once.NewBackup(self, policy),
		jobs:    map[once.ID]*job{},
	}
}

// submit decides on a submission. For the verdicts Record and Run it stores the job
// that makeJob returns as under way; for Join it returns the job under way.
func (m *memory) submit(id once.ID, digest uint64, now time.Duration, makeJob func() *job) (once.Verdict, *once.Answer, *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict, answer := m.primary.Submit(id, digest, now)
	switch verdict {
	case once.Record, once.Run:
		m.jobs[id] = makeJob()
	case once.Join, once.Answered, once.NotMine:
	}
	return verdict, answer, m.jobs[id]
}

// refuse closes an id that has not been seen before, and returns the answer to
// it or the job under way.
func (m *memory) refuse(id once.ID, digest uint64, now time.Duration, refusal *once.Answer) (*once.Answer, *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict, answer := m.primary.Submit(id, digest, now)
	switch verdict {
	case once.Record, once.Run:
		return m.primary.End(id, refusal), nil
	case once.Answered:
		return answer, nil
	case once.Join, once.NotMine:
	}
	return nil, m.jobs[id]
}

func (m *memory) home(backup once.Incarnation, now time.Duration) (once.Home, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary.Home(backup, now)
}

func (m *memory) recorded(id once.ID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary.Recorded(id)
}

// recordLost closes the id's home and returns the answer.
func (m *memory) recordLost(id once.ID) *once.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary.RecordLost(id)
}

// end stores the answer of a job and removes it from those under way.
func (m *memory) end(id once.ID, answer *once.Answer) *once.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.jobs, id)
	return m.primary.End(id, answer)
}

// find returns the stored answer, or the job under way, or neither.
func (m *memory) find(id once.ID) (*once.Answer, *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer, _ := m.primary.Answer(id)
	return answer, m.jobs[id]
}

func (m *memory) record(id once.ID, digest uint64, now time.Duration) once.Ack {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backup.Record(id, digest, now)
}

func (m *memory) copy(id once.ID, answer *once.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backup.Copy(id, answer)
}

func (m *memory) fence(id once.ID, digest uint64, now time.Duration) *once.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backup.Fence(id, digest, now)
}

func (m *memory) fenceHome(home once.Home, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backup.FenceHome(home, now)
}

// closeHomes stops all homes from taking new submissions.
func (m *memory) closeHomes() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.primary.CloseAll()
}

// handover returns all homes, and the answers that their backups have to store.
func (m *memory) handover() ([]once.Home, map[once.ID]*once.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := map[once.ID]*once.Answer{}
	m.primary.Each(func(id once.ID, answer *once.Answer) { answers[id] = answer })
	return m.primary.Homes(), answers
}

func (m *memory) underWay() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.jobs)
}

func (m *memory) ids() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary.Len() + m.backup.Len()
}
