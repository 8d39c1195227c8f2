package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

// trafficInterval is how often a node logs its network traffic.
const trafficInterval = 10 * time.Second

// runTraffic logs the bytes per second by purpose.
func (n *Node) runTraffic(ctx context.Context) {
	before := n.trafficSnapshot()
	for common.Sleep(ctx, trafficInterval) {
		now := n.trafficSnapshot()
		n.logTraffic(before, now)
		before = now
	}
}

// trafficSnapshot holds the counters of traffic at one time.
type trafficSnapshot struct {
	at  time.Duration
	in  []uint64 // by purpose
	out []uint64

	frames []uint64 // sent to peers, by class
	bytes  []uint64
}

// peerClasses are the classes of messages between nodes that are logged separately.
var peerClasses = []peer.Class{peer.ClassForward, peer.ClassSnapshot, peer.ClassControl}

func (n *Node) trafficSnapshot() trafficSnapshot {
	s := trafficSnapshot{at: n.Clock.Now()}
	for _, purpose := range traffic.Purposes() {
		s.in = append(s.in, n.meter.Of(purpose).In())
		s.out = append(s.out, n.meter.Of(purpose).Out())
	}
	for _, class := range peerClasses {
		s.frames = append(s.frames, n.counters.Frames(class))
		s.bytes = append(s.bytes, n.counters.Bytes(class))
	}
	return s
}

func (n *Node) logTraffic(before, now trafficSnapshot) {
	elapsed := max((now.at - before.at).Seconds(), time.Millisecond.Seconds())
	rate := func(now, before uint64) int64 { return int64(float64(now-before) / elapsed) }
	fields := []any{"cells", len(n.allOwners()), "hub", n.isHub.Load(), "reads_list", n.isListReader.Load(),
		"peers_not_encoded", n.counters.NotEncoded(), "link_mbps", n.settings.LinkMbps, "round_trip_limit_ms", n.front.calls.roundTrips.Timeout().Milliseconds()}
	for i, purpose := range traffic.Purposes() {
		fields = append(fields,
			purpose.String()+"_in", rate(now.in[i], before.in[i]),
			purpose.String()+"_out", rate(now.out[i], before.out[i]))
	}
	for i, class := range peerClasses {
		fields = append(fields,
			"peers_"+class.String()+"_frames", rate(now.frames[i], before.frames[i]),
			"peers_"+class.String()+"_bytes", rate(now.bytes[i], before.bytes[i]))
	}
	n.Log.Info("traffic", fields...)
}
