package entry

import (
	"net/http"
	"runtime"
	"sort"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/peer"
)

func (h *Host) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.status())
}

func (h *Host) status() jobapi.HostStatus {
	view := h.members.view()
	status := jobapi.HostStatus{
		Name:        h.settings.Name,
		Domain:      h.settings.Domain,
		Incarnation: h.inc.String(),
		Version:     h.conf.version(),
		Leaving:     h.leaving.Load(),
		Jobs:        h.memory.underWay(),
		IDs:         h.memory.ids(),
		Messages:    map[string]uint64{},
		Bytes:       map[string]uint64{},
	}
	for _, p := range view.Peers {
		status.Peers = append(status.Peers, jobapi.PeerStatus{
			Name: p.Name, Domain: p.Domain, Version: p.Version, Waiting: p.Waiting, Free: p.Free,
			Leaving: p.Leaving, Backup: p.Incarnation == view.Backup,
		})
	}
	for name, d := range *h.pools.Load() {
		load := d.load()
		status.Pools = append(status.Pools, jobapi.PoolStatus{
			Name: name, Waiting: load.Waiting, Busy: load.Busy, Free: load.Free, Suspects: load.Suspects,
		})
	}
	sort.Slice(status.Pools, func(i, j int) bool { return status.Pools[i].Name < status.Pools[j].Name })
	for _, class := range peer.Classes() {
		status.Messages[class.String()] = h.counters.Frames(class)
		status.Bytes[class.String()] = h.counters.Bytes(class)
	}
	status.CPUSeconds, status.MemoryBytes = processCost()
	return status
}

// processCost returns the processor time that the process has used, and the memory that
// it has obtained from the system and not returned.
func processCost() (cpuSeconds float64, memoryBytes uint64) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, 0
	}
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return cpu.Seconds(), memory.Sys - memory.HeapReleased
}
