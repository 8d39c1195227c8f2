//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes the connections between nodes on to one node. A connection begins with the name of the
// node that opened it. During a cut the proxy resets the connections of the nodes that are cut off, and
// goes on to refuse theirs.
type proxy struct {
	to    string
	names []string // of all nodes

	mu    sync.Mutex
	conns map[net.Conn]string      // the opener's name, by either end
	cut   map[string]bool          // openers that are cut off
	late  map[string]time.Duration // by the opener: how late the first data of its next connection comes
}

func newProxy(to string, names []string) *proxy {
	return &proxy{to: to, names: names, conns: map[net.Conn]string{}, cut: map[string]bool{}, late: map[string]time.Duration{}}
}

func (p *proxy) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

// openerOf returns the name with which a connection begins, and what was read for it.
func (p *proxy) openerOf(conn net.Conn) (string, []byte) {
	var head []byte
	buffer := make([]byte, 4096)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for len(head) < 4096 {
		n, err := conn.Read(buffer)
		head = append(head, buffer[:n]...)
		for _, name := range p.names {
			if bytes.Contains(head, []byte(name)) {
				_ = conn.SetReadDeadline(time.Time{})
				return name, head
			}
		}
		if err != nil {
			break
		}
	}
	return "", head
}

func (p *proxy) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	opener, head := p.openerOf(from)
	to, err := net.Dial("tcp", p.to)
	if err != nil || opener == "" {
		reset(from)
		return
	}
	defer func() { _ = to.Close() }()
	if !p.track(opener, from, to) {
		reset(from)
		return
	}
	defer p.forget(from, to)
	time.Sleep(p.takeLate(opener))
	if _, err := to.Write(head); err != nil {
		return
	}
	done := make(chan bool, 2)
	go func() { _, _ = io.Copy(to, from); done <- true }()
	go func() { _, _ = io.Copy(from, to); done <- true }()
	<-done
}

// track reports false for a connection whose opener is cut off.
func (p *proxy) track(opener string, ends ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut[opener] {
		return false
	}
	for _, end := range ends {
		p.conns[end] = opener
	}
	return true
}

// setLate has the first data of an opener's next connection come late, as after a lost packet.
func (p *proxy) setLate(opener string, by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late[opener] = by
}

func (p *proxy) takeLate(opener string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	by := p.late[opener]
	delete(p.late, opener)
	return by
}

func (p *proxy) forget(ends ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range ends {
		delete(p.conns, end)
	}
}

// setCut cuts a node off from this one, or ends that.
func (p *proxy) setCut(opener string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[opener] = cut
	for conn, name := range p.conns {
		if cut && name == opener {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
