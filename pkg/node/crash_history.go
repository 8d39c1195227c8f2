package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

const (
	// crashRetention is how long a front remembers the crashes under a job's tasks.
	crashRetention = 20 * time.Second
	// maxCrashedJobs bounds the memory of these. A job beyond it starts as if it were new.
	maxCrashedJobs = 4096
)

// crashHistory holds the crashes of executors under the tasks of jobs that have ended, or were returned.
type crashHistory struct {
	count atomic.Int64 // of the jobs, so that dispatches need no lock while there are none

	mu          sync.Mutex
	jobs        map[string]*crashedJob // by the id of the whole job
	nextRemoval time.Duration          // no job is to be removed before
}

type crashedJob struct {
	crashes    []job.Progress // with keys and crashes only
	recordedAt time.Duration
}

func newCrashHistory() *crashHistory { return &crashHistory{jobs: map[string]*crashedJob{}} }

// crashesOf returns the crashes in the progress of a job's tasks.
func crashesOf(progress []job.Progress) []job.Progress {
	var crashes []job.Progress
	for _, p := range progress {
		if p.Crashes > 0 {
			crashes = append(crashes, job.Progress{Key: p.Key, Crashes: p.Crashes, CrashedAt: p.CrashedAt, CrashEvidence: p.CrashEvidence})
		}
	}
	return crashes
}

// withCrashes returns the progress of a job's tasks with crashes that may not be in it yet.
func withCrashes(progress, crashes []job.Progress) []job.Progress {
	if len(crashes) == 0 {
		return progress
	}
	all := slices.Clone(progress)
	for _, c := range crashes {
		at := slices.IndexFunc(all, func(p job.Progress) bool { return p.Key == c.Key })
		if at < 0 {
			all = append(all, c)
			continue
		}
		p := &all[at]
		p.Crashes, p.CrashedAt = job.MergeCrashes(p.Crashes, p.CrashedAt, c.Crashes, c.CrashedAt)
		p.CrashEvidence = max(p.CrashEvidence, c.CrashEvidence)
	}
	return all
}

// record adds the crashes in the progress of a job's tasks. It reports whether some of them are new.
func (h *crashHistory) record(id string, progress []job.Progress, now time.Duration) bool {
	crashes := crashesOf(progress)
	if len(crashes) == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	isNew := true
	known := h.jobs[id]
	switch {
	case known != nil:
		crashes = withCrashes(known.crashes, crashes)
		isNew = countCrashes(crashes) > countCrashes(known.crashes)
	case len(h.jobs) >= maxCrashedJobs:
		return false
	}
	h.jobs[id] = &crashedJob{crashes: crashes, recordedAt: now}
	h.count.Store(int64(len(h.jobs)))
	return isNew
}

// countCrashes returns how many executors have crashed under all tasks of a job.
func countCrashes(crashes []job.Progress) int {
	count := 0
	for _, p := range crashes {
		count += p.Crashes
	}
	return count
}

// expire removes the jobs under whose tasks no crash was recorded for crashRetention. h.mu is held.
func (h *crashHistory) expire(now time.Duration) {
	if now <= h.nextRemoval {
		return
	}
	h.nextRemoval = now + crashRetention
	for id, known := range h.jobs {
		end := known.recordedAt + crashRetention
		if now > end {
			delete(h.jobs, id)
			continue
		}
		h.nextRemoval = min(h.nextRemoval, end)
	}
}

// of returns the recorded crashes of a job.
func (h *crashHistory) of(id string, now time.Duration) []job.Progress {
	if h.count.Load() == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	h.count.Store(int64(len(h.jobs)))
	if known := h.jobs[id]; known != nil {
		return known.crashes
	}
	return nil
}

// all returns the recorded crashes, by job.
func (h *crashHistory) all(now time.Duration) map[string][]job.Progress {
	if h.count.Load() == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	all := map[string][]job.Progress{}
	for id, known := range h.jobs {
		all[id] = known.crashes
	}
	return all
}

// progressFor returns the progress of a job for its next owner, with the crashes of former submissions.
func (n *Node) progressFor(j *job.Job, state *attempt) []job.Progress {
	now := n.Clock.Now()
	return withCrashes(state.progressAsOf(now), n.crashes.of(j.WholeID(), now))
}
