// Package peer connects the instances of baobabsill with each other: twirp
// over unencrypted HTTP/2.
package peer

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

const (
	// connsPerPeer spreads calls, so that one lost packet on a link between
	// zones doesn't delay all of them.
	connsPerPeer = 2
	dialTimeout  = time.Second
	// pingAfter and pingTimeout close connections over a link that was cut; a
	// peer becomes suspect within the same time.
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// Conns keeps connections to the peers. It is safe for concurrent use.
type Conns struct {
	logger *log.Logger
	dialer *net.Dialer

	mu    sync.Mutex
	peers map[string]*peerConn
}

type peerConn struct {
	client peerpb.Peer
	next   atomic.Uint32
	https  [connsPerPeer]*http.Client
}

// NewConns returns a Conns that dials from the local IP source, or from any
// if source is nil.
func NewConns(logger *log.Logger, source net.IP) *Conns {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &Conns{logger: logs.OrDiscard(logger), dialer: dialer, peers: map[string]*peerConn{}}
}

// Client returns the client of the peer at address (IP:port). It connects when
// it is first used.
func (c *Conns) Client(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok {
		return p.client
	}
	p := &peerConn{}
	for i := range p.https {
		p.https[i] = &http.Client{Transport: c.transport()}
	}
	p.client = peerpb.NewPeerProtobufClient("http://"+address, p)
	c.peers[address] = p
	c.logger.Debug().Str("peer_address", address).Msg("peer client created")
	return p.client
}

// Forget closes the idle connections to a peer that is gone.
func (c *Conns) Forget(address string) {
	c.mu.Lock()
	p, ok := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if ok {
		p.closeIdle()
	}
}

// Close closes the idle connections to all peers.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.closeIdle()
	}
	clear(c.peers)
}

func (c *Conns) transport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        c.dialer.DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: pingTimeout,
		},
	}
}

func (p *peerConn) closeIdle() {
	for _, h := range p.https {
		h.CloseIdleConnections()
	}
}

// notSentError marks a failure before a connection was obtained.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// Do sends a request over the next of the peer's connections.
func (p *peerConn) Do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := p.https[p.next.Add(1)%connsPerPeer].Do(req.WithContext(ctx))
	if err != nil && !connected.Load() {
		return nil, &notSentError{err}
	}
	return resp, err
}

// NotSent reports whether the call that returned err certainly did not reach
// the peer. A false result says nothing.
func NotSent(err error) bool {
	var n *notSentError
	return errors.As(err, &n) || errors.Is(err, syscall.ECONNREFUSED)
}
