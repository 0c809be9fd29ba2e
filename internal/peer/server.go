package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/admission"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

const (
	// maxStreams limits the concurrent calls on one connection.
	maxStreams = 1000
	// maxRequestBytes bounds the request of a peer. The largest are those that carry the
	// body of a caller's request.
	maxRequestBytes = 16 << 20
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 4 << 10
	// receiveBufferBytes bounds what is buffered of the bodies of a connection.
	receiveBufferBytes = 256 << 10
	// maxFrameBytes bounds a frame of HTTP/2. A connection keeps a buffer for the largest.
	maxFrameBytes = 16 << 10
	// bodyTimeout bounds the reading of one request.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time in which a peer reads nothing of an answer.
	writeTimeout = 10 * time.Second
	// idleTimeout bounds the time without calls on a connection. Peers close theirs
	// sooner.
	idleTimeout = 5 * time.Minute
)

// errNoRoom ends the reading of a request for which there is no room.
var errNoRoom = errors.New("no room for the request")

// Server serves the peer protocol to the other instances.
type Server struct {
	logger *log.Logger
	budget *admission.Budget
	http   *http.Server

	mu       sync.Mutex
	listener net.Listener
	address  string
}

// NewServer returns a server that will listen on address (IP:port) and passes
// calls to service. budget bounds what all peers hold.
func NewServer(logger *log.Logger, address string, budget *admission.Budget, service peerpb.Peer) *Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		logger:  logs.OrDiscard(logger),
		budget:  budget,
		address: address,
		http: &http.Server{
			Handler:           &intake{budget: budget, next: peerpb.NewPeerServer(service)},
			ConnContext:       withConn,
			Protocols:         protocols,
			ReadHeaderTimeout: 5 * time.Second,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams:          maxStreams,
				MaxReadFrameSize:              maxFrameBytes,
				WriteByteTimeout:              writeTimeout,
				MaxReceiveBufferPerConnection: receiveBufferBytes,
				MaxReceiveBufferPerStream:     receiveBufferBytes,
			},
		},
	}
}

// Listen opens the listener, so that a failure shows before Run. Run calls Listen
// if it was not called.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err == nil {
		bounded := admission.NewListener(s.logger, l, s.budget, connBytes)
		bounded.CloseEvicted = true
		s.listener = pacedListener{bounded}
	}
	return err
}

// Address returns the address that the server listens on, or "" before Listen.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Run serves until Shutdown is called or ctx ends. If ctx ends, running calls
// are aborted.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	s.logger.Info().Str("peer_listen", s.Address()).Msg("peer server started")
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections and waits for the running calls. If ctx
// ends first, it aborts them and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}
