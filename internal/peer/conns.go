// Package peer connects the instances of baobabsill with each other by Twirp
// calls over unencrypted HTTP/2.
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

// Options of the connections to peers.
type Options struct {
	// ConnsPerPeer is the number of connections over which the calls to a peer are
	// spread, so that one packet lost between zones does not delay all calls.
	ConnsPerPeer int
	// A connection that received nothing for PingAfter is pinged, and closed if there is
	// no answer within a second. This closes the connections over a cut link.
	PingAfter time.Duration
}

// DefaultOptions are for few peers. A peer becomes suspect within the time after which
// its connections over a cut link are closed.
var DefaultOptions = Options{ConnsPerPeer: 2, PingAfter: time.Second}

const (
	dialTimeout = time.Second
	pingTimeout = time.Second
	// maxReplyBytes bounds the reply of a peer. The largest are listings of the store.
	maxReplyBytes = 64 << 20
)

// Conns holds the clients of the peers by address and creates them on first use.
// It is safe for concurrent use.
type Conns struct {
	logger  *log.Logger
	dialer  *net.Dialer
	options Options

	mu    sync.Mutex
	peers map[string]*peerClient
}

// peerClient spreads the calls to one peer over several HTTP clients, each with
// one HTTP/2 connection.
type peerClient struct {
	client      peerpb.Peer
	nextClient  atomic.Uint32
	httpClients []*http.Client
}

// NewConns returns a Conns that dials from the local IP source, or from any
// local IP if source is nil.
func NewConns(logger *log.Logger, source net.IP, options Options) *Conns {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &Conns{logger: logs.OrDiscard(logger), dialer: dialer, options: options, peers: map[string]*peerClient{}}
}

// Client returns the client of the peer at address (IP:port). The client
// connects on its first call.
func (c *Conns) Client(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok {
		return p.client
	}
	p := &peerClient{httpClients: make([]*http.Client, c.options.ConnsPerPeer)}
	for i := range p.httpClients {
		p.httpClients[i] = &http.Client{Transport: c.newTransport()}
	}
	p.client = peerpb.NewPeerProtobufClient("http://"+address, p)
	c.peers[address] = p
	c.logger.Debug().Str("peer_address", address).Msg("peer client created")
	return p.client
}

// Forget removes the client of a peer that is gone and closes its idle
// connections.
func (c *Conns) Forget(address string) {
	c.mu.Lock()
	p, ok := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if ok {
		p.closeIdleConnections()
	}
}

// Close removes the clients of all peers and closes their idle connections.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.closeIdleConnections()
	}
	clear(c.peers)
}

func (c *Conns) newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        c.dialer.DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  c.options.PingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: pingTimeout,
		},
	}
}

func (p *peerClient) closeIdleConnections() {
	for _, h := range p.httpClients {
		h.CloseIdleConnections()
	}
}

// notSentError wraps an error that occurred before a connection was available,
// so that the request cannot have reached the peer.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// Do sends a request with the next HTTP client in rotation.
func (p *peerClient) Do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := p.httpClients[int(p.nextClient.Add(1)%uint32(len(p.httpClients)))].Do(req.WithContext(ctx))
	if err != nil && !connected.Load() {
		return nil, &notSentError{err}
	}
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	}
	return resp, err
}

// NotSent reports whether the call that returned err certainly did not reach
// the peer. If it returns false, the call may or may not have reached the peer.
func NotSent(err error) bool {
	var n *notSentError
	return errors.As(err, &n) || errors.Is(err, syscall.ECONNREFUSED)
}
