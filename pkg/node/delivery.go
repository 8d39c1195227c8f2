package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// sentAnnouncement is an announcement of open jobs, with the replies of the hosts that confirm it.
type sentAnnouncement struct {
	jobs []openjobs.Announcement

	mu      sync.Mutex
	replies map[string]*openJobsReply // by the address of the host
	domains map[string]string         // of these hosts, by their addresses
}

func newSentAnnouncement(jobs []openjobs.Announcement) *sentAnnouncement {
	return &sentAnnouncement{jobs: jobs, replies: map[string]*openJobsReply{}, domains: map[string]string{}}
}

func (s *sentAnnouncement) add(p member.Peer, reply *openJobsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies[p.Address], s.domains[p.Address] = reply, p.Domain
}

// reply returns the reply of a host, or nil if it hasn't been asked for one.
func (s *sentAnnouncement) reply(address string) *openJobsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replies[address]
}

// inDomain returns the addresses of the hosts of a domain that have been asked to reply, sorted.
func (s *sentAnnouncement) inDomain(domain string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for address := range s.replies {
		if s.domains[address] == domain {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// openJobsReply is the reply to an announcement, or that there will be none.
type openJobsReply struct {
	done    chan struct{}    // closed when the fields below are set
	arrived bool             // false: the link is down
	message *peerpb.OpenJobs // if it has arrived
}

// hasArrived reports whether the reply has arrived by now.
func (r *openJobsReply) hasArrived() bool {
	select {
	case <-r.done:
		return r.arrived
	default:
		return false
	}
}

// isLost reports whether no reply will arrive.
func (r *openJobsReply) isLost() bool {
	select {
	case <-r.done:
		return !r.arrived
	default:
		return false
	}
}

// await waits until the reply arrives. It returns false if ctx ends first, or if there will be none.
func (r *openJobsReply) await(ctx context.Context) bool {
	select {
	case <-r.done:
		return r.arrived
	case <-ctx.Done():
		return false
	}
}

// callOpenJobs sends announcements to a host that replies to them.
func (n *Node) callOpenJobs(address string, m *peerpb.OpenJobs) *openJobsReply {
	reply := &openJobsReply{done: make(chan struct{})}
	link := n.links.Link(address)
	if link == nil {
		close(reply.done)
		return reply
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.ResubmitAfter)
	go func() {
		defer cancel()
		defer close(reply.done)
		answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_OpenJobs{OpenJobs: m}}, 0)
		reply.arrived, reply.message = err == nil, answer.GetOpenJobs()
	}()
	return reply
}

// deliverInDomain has other hosts of this domain relay an announcement to those that haven't replied.
// A host that is cut off from this one only may get the second submission of a job, and the link to a
// host without cells counts as up for a long time.
func (n *Node) deliverInDomain(sent *sentAnnouncement) {
	asked := sent.inDomain(n.settings.Domain)
	delivery := openjobs.NewDelivery(asked, n.unreachableInDomain(), n.hasLostHostLately())
	var relayed []*openJobsReply
	for {
		time.Sleep(openjobs.RelayAfter)
		var confirmed []string
		for _, address := range asked {
			if sent.reply(address).hasArrived() {
				confirmed = append(confirmed, address)
			}
		}
		delivery.Confirmed(confirmed...)
		for _, reply := range relayed {
			if reply.hasArrived() {
				delivery.Confirmed(reply.message.GetReached()...)
			}
		}
		relays, isOver := delivery.NextRelays(confirmed)
		missing := delivery.Missing()
		switch {
		case isOver && len(missing) > 0:
			n.Log.Info("open_jobs_undelivered", "first", sent.jobs[0].ID, "jobs", len(sent.jobs), "hosts", missing)
			return
		case isOver:
			return
		case len(relays) == 0:
			continue
		}
		n.Log.Info("open_jobs_relayed", "first", sent.jobs[0].ID, "jobs", len(sent.jobs), "hosts", missing, "relays", relays)
		for _, relay := range relays {
			m := toOpenJobs(n.asFront(), sent.jobs, false)
			m.PassTo = missing
			relayed = append(relayed, n.callOpenJobs(relay, m))
		}
	}
}

// lossPeriod is longer than cuts of single hosts last.
const lossPeriod = 10 * time.Second

// hasLostHostLately reports whether the link to a host of this domain has gone down within lossPeriod.
func (n *Node) hasLostHostLately() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domainLostAt > 0 && n.Clock.Now() < n.domainLostAt+lossPeriod
}

// unreachableInDomain returns the addresses of the hosts of this domain to which this host keeps a
// link that is down.
func (n *Node) unreachableInDomain() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	expected := n.members.Expected(n.Clock.Now())
	var addresses []string
	for _, row := range n.memberRows {
		_, isUp := n.members.UpAt(row.PeerAddress)
		if row.Domain == n.settings.Domain && !isUp && slices.Contains(expected, row.PeerAddress) {
			addresses = append(addresses, row.PeerAddress)
		}
	}
	return addresses
}

// relayOpenJobsTo sends announcements to hosts of this domain, and returns the addresses of those
// that have received them. Hosts of earlier releases count if the link to them is up.
func (n *Node) relayOpenJobsTo(addresses []string, m *peerpb.OpenJobs) []string {
	n.mu.Lock()
	peers := map[string]member.Peer{}
	for _, address := range addresses {
		if p, isUp := n.members.UpAt(address); isUp && p.Domain == n.settings.Domain {
			peers[address] = p
		}
	}
	n.mu.Unlock()
	var mu sync.Mutex
	var group sync.WaitGroup
	var reached []string
	for address, p := range peers {
		if !p.ConfirmsOpenJobs {
			n.sendOpenJobs(address, m)
			reached = append(reached, address)
			continue
		}
		reply := n.callOpenJobs(address, m)
		group.Go(func() {
			select {
			case <-reply.done:
			case <-time.After(openjobs.RelayAfter):
			}
			if reply.hasArrived() {
				mu.Lock()
				defer mu.Unlock()
				reached = append(reached, address)
			}
		})
	}
	group.Wait()
	slices.Sort(reached)
	return reached
}
