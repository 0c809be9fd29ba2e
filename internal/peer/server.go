package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// maxStreams bounds the calls of one peer that run at once on a connection.
const maxStreams = 1000

// Server serves the peer protocol.
type Server struct {
	logger *log.Logger
	http   *http.Server

	mu       sync.Mutex
	listener net.Listener
	address  string
}

// NewServer returns a server for address (IP:port).
func NewServer(logger *log.Logger, address string, service peerpb.Peer) *Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		logger:  logs.OrDiscard(logger),
		address: address,
		http: &http.Server{
			Handler:           peerpb.NewPeerServer(service),
			Protocols:         protocols,
			ReadHeaderTimeout: 5 * time.Second,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		},
	}
}

// Listen opens the listener, so that errors show before Run. Run calls it
// otherwise.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err == nil {
		s.listener = l
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

// Run serves until Shutdown, or until ctx ends, which breaks running calls.
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

// Shutdown takes no new connections and waits for the running calls. When ctx
// ends first it breaks them and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}
