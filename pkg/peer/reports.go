package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// linkReports passes on what the links to one address report to the observer, which knows them by
// the address only. A link that was closed may still be dialling, or waiting for an answer, when
// the link that replaces it is up. So a link reports its state only while it is the current one:
// a closed link does not come up any more, and goes down before its successor comes up.
type linkReports struct {
	address  string
	observer Observer

	number atomic.Uint64 // of the newest link

	mu     sync.Mutex // held while the observer is called
	upLink *Link      // the link that was reported as up; nil if the last report was that it is down
	upPeer *peerpb.Hello
}

func newLinkReports(address string, observer Observer) *linkReports {
	return &linkReports{address: address, observer: observer}
}

// nextNumber returns a number for the hellos of a link that is higher than those of all former links
// to the address.
func (r *linkReports) nextNumber() uint64 { return r.number.Add(1) }

// up reports that a link is up, unless it was closed meanwhile. It returns whether it did.
func (r *linkReports) up(ctx context.Context, l *Link, peer *peerpb.Hello) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		l.Log.Info("link_closed_unused", "name", peer.Name, "link", l.number.Load())
		return false
	}
	if r.upLink != nil {
		r.reportDown()
	}
	r.upLink, r.upPeer = l, peer
	r.observer.LinkUp(r.address, peer)
	l.Log.Info("link_up", "name", peer.Name, "link", l.number.Load())
	return true
}

// down reports that a link is down, unless its successor has done so.
func (r *linkReports) down(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upLink == l {
		r.reportDown()
	}
}

// reportDown reports that the current link is down. r.mu is held.
func (r *linkReports) reportDown() {
	l, peer := r.upLink, r.upPeer
	r.upLink, r.upPeer = nil, nil
	r.observer.LinkDown(r.address)
	l.Log.Info("link_down", "name", peer.Name, "link", l.number.Load())
}

// resumed reports that a link continues on another connection.
func (r *linkReports) resumed(l *Link, peer *peerpb.Hello) {
	resumer, ok := r.observer.(Resumer)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upLink == l {
		resumer.LinkResumed(r.address, peer)
	}
}

// heartbeatReply passes on the reply to a heartbeat of a link that is up.
func (r *linkReports) heartbeatReply(l *Link, reply *peerpb.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upLink == l {
		r.observer.HeartbeatReply(r.address, reply)
	}
}
