package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to the store, and cuts them while it is told to.
type proxy struct {
	addr, to string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func startProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: ln.Addr().String(), to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

// setCut resets all connections and further ones, or ends that.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the close matters
	c.Close()                     //nolint:errcheck // it may be closed already
}

func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	c.Close() //nolint:errcheck // it may be closed already
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) pass(c net.Conn) {
	if !p.add(c) {
		return
	}
	defer p.drop(c)
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	if !p.add(s) {
		return
	}
	defer p.drop(s)
	go func() {
		io.Copy(s, c) //nolint:errcheck // ends with the connections
		p.drop(s)
	}()
	io.Copy(c, s) //nolint:errcheck // ends with the connections
}
