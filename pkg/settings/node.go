package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/inifile"
)

// Node is the settings of a host that dispatches leased tasks.
type Node struct {
	Name           string   // unique, kept over restarts
	Domain         string   // failure domain
	Adapter        string   // plug-in that speaks with callers, executors and the store
	FrontAddress   string   // for callers
	ReadyAddress   string   // for the balancer's readiness check
	PeerAddress    string   // at which other nodes reach this one; its name among them
	PeerListen     string   // where this node listens for them; PeerAddress unless it is behind a relay
	MetricsAddress string   // for the metrics; empty for none
	Seeds          []string // peer addresses to try before the store has told of others
	StoreAddress   string
	LongestHold    time.Duration // longest lease that executors grant
	ResubmitAfter  time.Duration // how soon callers send a job again whose answer is missing
	StopTime       time.Duration // what a stop may take at an executor
	Heartbeat      time.Duration // between peers
	SuspectAfter   time.Duration // silence after which a peer is suspected
	Grace          time.Duration // of a planned stop
	MemoryMB       int
	Weight         int     // thousandths of a core that the host may use
	LinkMbps       float64 // of the host's link, each way; 0 when not known
	Order          string  // plug-in that ranks the jobs of a cell
	LogLevel       string
}

// bytesPerMbit turns Mbit/s into bytes a second.
const bytesPerMbit = 1e6 / 8

// LinkRate returns the bytes a second that the host's link carries each way; 0
// when that isn't known.
func (n *Node) LinkRate() float64 { return n.LinkMbps * bytesPerMbit }

// DefaultOrder is the order of jobs that measured best, docs/design/policy.md.
const DefaultOrder = "value"

// thousandth turns cores into thousandths of a core.
const thousandth = 1000

// LoadNode reads a node's settings from a file.
func LoadNode(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadSettings, "name a file that can be read with -settings or FOXCROFT_NODE_FILE", "the settings cannot be read")
	}
	return ParseNode(path, data)
}

// ParseNode reads a node's settings. name stands in messages.
func ParseNode(name string, data []byte) (*Node, error) {
	file, err := inifile.Parse(name, data, errkind.BadSettings)
	if err != nil {
		return nil, err
	}
	file.Known("node", "listen", "peers", "store", "lease", "stop", "limits", "policy", "log")
	node := parseNode(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	if err := node.checkLeases(); err != nil {
		return nil, err
	}
	return node, nil
}

// leaseBeats is how many heartbeats a job's lease, the time of resubmission less two
// stops, has to hold: a renewal is up to two of them old when it comes, and the next
// one comes as much later.
const leaseBeats = 4

// checkLeases reports times with which the leases of jobs would end before their
// fronts could renew them.
func (n *Node) checkLeases() error {
	if least := 2*n.StopTime + leaseBeats*n.Heartbeat; n.ResubmitAfter < least {
		return errkind.New(errkind.BadSettings, "raise resubmit_after in [lease], or lower heartbeat in [peers] or stop_time in [lease]",
			"resubmit_after is %s, and has to be %s with this heartbeat and stop_time", n.ResubmitAfter, least)
	}
	return nil
}

func parseNode(file *inifile.File) *Node {
	node := file.Only("node")
	listen := file.Only("listen")
	peers := file.Only("peers")
	lease := file.Only("lease")
	peerAddress := listen.Address("peers", "")
	return &Node{
		Name:           node.Required("name", "give the host a unique name"),
		Domain:         node.Required("domain", "name the failure domain of the host"),
		Adapter:        node.Required("adapter", "name the plug-in that speaks with the platform"),
		FrontAddress:   listen.Address("front", ""),
		ReadyAddress:   listen.Address("ready", ""),
		PeerAddress:    peerAddress,
		PeerListen:     listen.Address("peers_listen", peerAddress),
		MetricsAddress: optionalAddress(listen, "metrics"),
		Seeds:          withPort(peers.Addresses("seeds"), peers.Int("port", 0, 0, 65535)),
		Heartbeat:      peers.Duration("heartbeat", 150*time.Millisecond, time.Millisecond, time.Minute),
		SuspectAfter:   peers.Duration("suspect_after", 600*time.Millisecond, 2*time.Millisecond, time.Minute),
		StoreAddress:   file.Only("store").Address("address", ""),
		LongestHold:    lease.Duration("longest_hold", time.Second, 50*time.Millisecond, time.Minute),
		ResubmitAfter:  lease.Duration("resubmit_after", 1300*time.Millisecond, 100*time.Millisecond, time.Hour),
		StopTime:       lease.Duration("stop_time", 50*time.Millisecond, 0, time.Minute),
		Grace:          file.Only("stop").Duration("grace", 6*time.Second, 0, time.Hour),
		MemoryMB:       file.Only("limits").Int("memory_mb", 256, 32, 1<<20),
		Weight:         int(thousandth * file.Only("limits").Float("cpu_share", 1, 0.001, 1024)),
		LinkMbps:       file.Only("limits").Float("link_mbps", 0, 0, 1e6),
		Order:          file.Only("policy").String("order", DefaultOrder),
		LogLevel:       file.Only("log").OneOf("level", "info", "debug", "info", "warn", "error"),
	}
}

// optionalAddress reads an address that may be missing or empty.
func optionalAddress(s *inifile.Section, key string) string {
	if !s.Has(key) || s.String(key, "") == "" {
		return ""
	}
	return s.Address(key, "")
}

// withPort gives every address the port that nodes listen on for peers, where
// the seeds are known by another one. Port 0 leaves them as they are.
func withPort(addresses []string, port int) []string {
	if port == 0 {
		return addresses
	}
	for i, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err == nil {
			addresses[i] = net.JoinHostPort(host, strconv.Itoa(port))
		}
	}
	return addresses
}
