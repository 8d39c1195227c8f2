// Package settings reads the INI settings of a process: its addresses, its
// failure domain, the platform's address and limits. docs/CONFIG.md documents
// each key; a process with a faulty file does not start.
package settings

import (
	"os"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// Entry is the settings of an entry host.
type Entry struct {
	Name          string   // of the host, unique
	Domain        string   // failure domain
	CallerAddress string   // IP:port for callers, health checks and metrics
	PeerAddress   string   // IP:port for other entry hosts
	Seeds         []string // peer addresses to try before the platform's list is there
	Platform      string   // IP:port of the platform's service
	Client        string   // name of the platform client
	LogLevel      string
	MaxBodyBytes  int // of a submission
	Once          once.Policy
	SkipRecord    bool // start without a record: breaks promises 1 and 4, for measuring what records cost
	Link          Link
	ConfigPoll    time.Duration // how often the domain's reader asks the platform for a newer version
	ListPoll      time.Duration // how often the host list is read
	StopGrace     time.Duration // how long a planned stop waits for jobs under way
	LeaveNotice   time.Duration // how long the health check says leaving before the stop goes on
	RetryRatio    float64       // retries allowed a task
	KeyRetention  time.Duration // how long plain keys are remembered at the platform
}

// Link is the settings of links between entry hosts.
type Link struct {
	Heartbeat     time.Duration // interval of heartbeats
	SuspectAfter  time.Duration // silence after which a link is given up
	RecordTimeout time.Duration // how long the backup may take to acknowledge
	PerDomain     int           // links kept to each other failure domain
	Gossip        bool          // peers tell each other the addresses of the domain's hosts
}

// Load reads an entry host's settings from a file.
func Load(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadSettings, "name a file that can be read with -settings", "the settings cannot be read")
	}
	return Parse(path, data)
}

// Parse reads an entry host's settings. name stands in messages.
func Parse(name string, data []byte) (*Entry, error) {
	file, err := inifile.Parse(name, data, errkind.BadSettings)
	if err != nil {
		return nil, err
	}
	file.Known("entry", "platform", "log", "limits", "once", "link", "stop")
	entry := parseEntry(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return entry, nil
}

func parseEntry(file *inifile.File) *Entry {
	host := file.Only("entry")
	platform := file.Only("platform")
	limits := file.Only("limits")
	stop := file.Only("stop")
	return &Entry{
		Name:          host.Required("name", "give the host a unique name"),
		Domain:        host.Required("domain", "name the failure domain of the host"),
		CallerAddress: host.Address("caller_address", ""),
		PeerAddress:   host.Address("peer_address", ""),
		Seeds:         host.Addresses("seeds"),
		Platform:      platform.Address("address", ""),
		Client:        platform.OneOf("client", "http", "http"),
		ConfigPoll:    platform.Duration("config_poll", time.Second, 10*time.Millisecond, time.Minute),
		ListPoll:      platform.Duration("list_poll", 5*time.Second, 10*time.Millisecond, time.Minute),
		LogLevel:      file.Only("log").OneOf("level", "info", "debug", "info", "warn", "error"),
		MaxBodyBytes:  limits.Int("max_body_bytes", 8<<20, 1<<10, 1<<30),
		KeyRetention:  limits.Duration("key_retention", 24*time.Hour, time.Minute, 30*24*time.Hour),
		RetryRatio:    limits.Float("retry_ratio", 0.1, 0, 1),
		Once:          parseOnce(file.Only("once")),
		SkipRecord:    file.Only("once").Bool("unsafe_skip_record", false),
		Link:          parseLink(file.Only("link")),
		StopGrace:     stop.Duration("grace", 30*time.Second, 0, 10*time.Minute),
		LeaveNotice:   stop.Duration("notice", time.Second, 0, time.Minute),
	}
}

func parseOnce(s *inifile.Section) once.Policy {
	defaults := once.DefaultPolicy()
	policy := once.Policy{
		HomeLife:  s.Duration("home_life", defaults.HomeLife, 100*time.Millisecond, time.Hour),
		Retention: s.Duration("retention", defaults.Retention, time.Second, 24*time.Hour),
		MaxIDs:    s.Int("max_ids", defaults.MaxIDs, 1, 1<<30),
	}
	if policy.Retention < 2*policy.HomeLife {
		s.Problem("retention", "retention = %s is too short for home_life = %s; make it %s at least", policy.Retention, policy.HomeLife, 2*policy.HomeLife)
	}
	return policy
}

func parseLink(s *inifile.Section) Link {
	return Link{
		Heartbeat:     s.Duration("heartbeat", 500*time.Millisecond, time.Millisecond, time.Minute),
		SuspectAfter:  s.Duration("suspect_after", 1500*time.Millisecond, 2*time.Millisecond, time.Minute),
		RecordTimeout: s.Duration("record_timeout", 500*time.Millisecond, time.Millisecond, time.Minute),
		Gossip:        s.Bool("gossip", true),
		PerDomain:     s.Int("per_domain", 3, 0, 1000),
	}
}
