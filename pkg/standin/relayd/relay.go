// Package relayd is a stand-in for the network between entry hosts: TCP relays
// that can be cut, so that bytes stay away while connections stay open.
package relayd

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bufferBytes = 32 << 10
	cutPoll     = 5 * time.Millisecond
)

// Relay passes connections on to an address.
type Relay struct {
	to string

	mu       sync.Mutex
	delay    time.Duration // added to each piece of data, one way
	cutTo    bool          // nothing passes towards the address
	cutFrom  bool          // nothing passes back
	conns    map[net.Conn]bool
	silent   int // connections accepted so far of which nothing passes any more
	stranded int // those of which not even their end passes
	taken    int // connections accepted so far
	loss     Loss
	heads    map[int][]byte           // what connections began with, by number
	cutOf    map[string]ways          // which ways are cut of connections that began with one of these texts in their heads
	lateOf   map[string]time.Duration // by such a text, how late the next piece of such a connection comes
}

// ways are those of a connection.
type ways struct{ to, from bool }

// headBytes is how much of what a connection began with is kept, to tell who opened it.
const headBytes = 1 << 10

// Loss is what lost packets do to some connections of a relay: one piece of data in
// Pieces comes late, and what was sent after it on its connection waits behind it.
type Loss struct {
	Conns  int // one connection in so many is hit; 0: none
	Pieces int // one piece in so many comes late, each way
	Late   time.Duration
}

// lateBy returns how late a piece of a connection comes.
func (l Loss) lateBy(number, piece int) time.Duration {
	if l.Conns == 0 || number%l.Conns != 0 || piece%l.Pieces != 0 {
		return 0
	}
	return l.Late
}

// SetLoss has the relay lose packets, or none by the empty Loss.
func (r *Relay) SetLoss(loss Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = loss
}

func (r *Relay) lateBy(number, piece int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loss.lateBy(number, piece)
}

// NewRelay makes a relay to an address.
func NewRelay(to string, delay time.Duration) *Relay {
	return &Relay{to: to, delay: delay, conns: map[net.Conn]bool{}, heads: map[int][]byte{}, cutOf: map[string]ways{}, lateOf: map[string]time.Duration{}}
}

// SetCut cuts the relay, or mends it. What was sent during a cut arrives after
// it, as over TCP, unless its sender has reset the connection meanwhile.
func (r *Relay) SetCut(cut bool) { r.SetCutWays(cut, cut) }

// SetCutWays cuts or mends each way by itself.
func (r *Relay) SetCutWays(to, from bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutTo, r.cutFrom = to, from
}

// SetCutOf cuts or mends, both ways, the connections whose first bytes contain a text by
// which their opener is known, such as its address.
func (r *Relay) SetCutOf(opener string, cut bool) { r.SetCutWaysOf(opener, cut, cut) }

// SetCutWaysOf cuts or mends each way of such connections by itself.
func (r *Relay) SetCutWaysOf(opener string, to, from bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOf[opener] = ways{to: to, from: from}
}

// DelayNext has the next piece that comes on a connection of an opener, as of SetCutOf, come late, as
// after a lost packet.
func (r *Relay) DelayNext(opener string, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateOf[opener] = late
}

// nextLate returns how late a piece towards the address comes by DelayNext.
func (r *Relay) nextLate(number int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for opener, late := range r.lateOf {
		if bytes.Contains(r.heads[number], []byte(opener)) {
			delete(r.lateOf, opener)
			return late
		}
	}
	return 0
}

// recordHead keeps what a connection begins with.
func (r *Relay) recordHead(number int, piece []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head := r.heads[number]; len(head) < headBytes {
		r.heads[number] = append(head, piece[:min(len(piece), headBytes-len(head))]...)
	}
}

func (r *Relay) forgetHead(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heads, number)
}

// isCutOf reports whether a way of a connection is cut for its opener. r.mu is held.
func (r *Relay) isCutOf(towards bool, number int) bool {
	for opener, cut := range r.cutOf {
		isCut := towards && cut.to || !towards && cut.from
		if isCut && bytes.Contains(r.heads[number], []byte(opener)) {
			return true
		}
	}
	return false
}

// Silence has all connections that are open now pass nothing any more, for good.
// They stay open, and new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = r.taken
}

// Strand has all connections that are open now pass nothing any more, not even that
// who opened them has closed them: the address hears nothing until it ends them itself.
func (r *Relay) Strand() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent, r.stranded = r.taken, r.taken
}

func (r *Relay) isStranded(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number <= r.stranded
}

// number returns the number of a new connection.
func (r *Relay) number() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken++
	return r.taken
}

func (r *Relay) isSilent(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number <= r.silent
}

// SetDelay changes the delay.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset resets all connections that are open now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		resetConn(conn)
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// state returns whether a way of a connection is cut, and the delay.
func (r *Relay) state(towards bool, number int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if towards {
		return r.cutTo || r.isCutOf(towards, number), r.delay
	}
	return r.cutFrom || r.isCutOf(towards, number), r.delay
}

func (r *Relay) track(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
		return
	}
	delete(r.conns, conn)
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
	number := r.number()
	defer r.forgetHead(number)
	r.track(from, true)
	defer r.track(from, false)
	defer from.Close()
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	r.track(to, true)
	defer r.track(to, false)
	defer to.Close()
	done := make(chan bool, 2)
	pass := func(dst, src net.Conn, towards bool) {
		r.pass(dst, src, towards, number)
		done <- towards
	}
	go pass(to, from, true)
	go pass(from, to, false)
	if towards := <-done; towards && r.isStranded(number) {
		<-done
	}
}

// heldPieces is how many pieces of data a way holds back during a cut.
const heldPieces = 64

// pass copies one way. A reader of its own notices a reset during a cut, which
// drops what is held back.
func (r *Relay) pass(dst, src net.Conn, towards bool, number int) {
	pieces := make(chan []byte, heldPieces)
	var wasReset atomic.Bool
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, bufferBytes)
			n, err := src.Read(buffer)
			if n > 0 {
				pieces <- buffer[:n]
			}
			if err != nil {
				wasReset.Store(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed))
				return
			}
		}
	}()
	passed := 0
	for piece := range pieces {
		passed++
		var nextLate time.Duration
		if towards {
			r.recordHead(number, piece)
			nextLate = r.nextLate(number)
		}
		cut, delay := r.state(towards, number)
		for cut {
			time.Sleep(cutPoll)
			cut, delay = r.state(towards, number)
		}
		time.Sleep(delay + r.lateBy(number, passed) + nextLate)
		if wasReset.Load() {
			break
		}
		if r.isSilent(number) {
			continue
		}
		if _, err := dst.Write(piece); err != nil {
			break
		}
	}
	for cut, _ := r.state(towards, number); cut && !wasReset.Load(); cut, _ = r.state(towards, number) {
		time.Sleep(cutPoll)
	}
	if wasReset.Load() && !(towards && r.isStranded(number)) {
		resetConn(dst)
	}
	_ = src.Close()
	for range pieces { // lets the reader end
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
