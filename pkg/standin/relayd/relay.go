// Package relayd is a stand-in for the network between entry hosts: TCP relays
// that can be cut, so that bytes stay away while connections stay open.
package relayd

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	cutPoll     = 5 * time.Millisecond
)

// Relay passes connections on to an address.
type Relay struct {
	to    string
	delay time.Duration // added to each piece of data, one way

	mu  sync.Mutex
	cut bool
}

// NewRelay makes a relay to an address.
func NewRelay(to string, delay time.Duration) *Relay { return &Relay{to: to, delay: delay} }

// SetCut cuts the relay, or mends it. What was sent during a cut arrives after
// it, as over TCP.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *Relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// Serve relays the connections of a listener until it is closed.
func (r *Relay) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

func (r *Relay) relay(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	pass := func(dst, src net.Conn) {
		r.pass(dst, src)
		done <- struct{}{}
	}
	go pass(to, from)
	go pass(from, to)
	<-done
}

func (r *Relay) pass(dst, src net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		for r.isCut() {
			time.Sleep(cutPoll)
		}
		time.Sleep(r.delay)
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// CutRequest cuts or mends the relay that listens on an address.
type CutRequest struct {
	Listen string `json:"listen"`
	Cut    bool   `json:"cut"`
}

// NewControl serves the switches of relays, which are given by the address
// that they listen on.
func NewControl(relays map[string]*Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/cut", func(w http.ResponseWriter, req *http.Request) {
		var request CutRequest
		if err := json.NewDecoder(req.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		relay := relays[request.Listen]
		if relay == nil {
			http.Error(w, "no relay on "+request.Listen, http.StatusNotFound)
			return
		}
		relay.SetCut(request.Cut)
	})
	return mux
}
