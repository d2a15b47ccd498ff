package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/sirupsen/logrus"
)

const (
	maxServerConns    = 8192
	maxCallsPerConn   = 64
	serverIdleTimeout = 2 * time.Minute
	// writeTimeout limits the writing of a frame by client or server, and the
	// TLS handshake of an accepted connection.
	writeTimeout = 5 * time.Second
)

// Peer is the process that sent a call.
type Peer struct {
	// Name is the common name of the peer's certificate, or empty on plain TCP.
	Name string
	Addr net.Addr
}

// Handler serves one method. The body is the msgpack encoding of the request;
// the returned value is encoded as the reply.
type Handler func(ctx context.Context, peer Peer, body []byte) (any, error)

// TypedHandler returns a Handler that decodes the request before it calls serve.
func TypedHandler[Req, Resp any](serve func(context.Context, Peer, Req) (Resp, error)) Handler {
	return func(ctx context.Context, peer Peer, body []byte) (any, error) {
		var req Req
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, Error.New("malformed request: %v", err)
		}
		return serve(ctx, peer, req)
	}
}

// Server answers calls. All handlers must be registered before Serve.
type Server struct {
	log      *logrus.Entry
	tls      *tls.Config
	handlers map[Method]Handler

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
	running  sync.WaitGroup
}

// NewServer returns a server that accepts connections with the TLS
// configuration, which must require client certificates. A nil configuration
// selects plain TCP without authentication.
func NewServer(config *tls.Config, log *logrus.Entry) *Server {
	return &Server{
		log:      log,
		tls:      config,
		handlers: map[Method]Handler{},
		conns:    map[net.Conn]struct{}{},
	}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method Method, handler Handler) { s.handlers[method] = handler }

// Serve starts answering calls on a listener and returns at once. The server
// closes the listener in Close.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.running.Go(func() { s.accept(listener) })
}

// Close closes the listener and all connections and waits for the handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	var err error
	if s.listener != nil {
		err = s.listener.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
	return Error.Wrap(err)
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.WithError(err).Warn("rpc_accept_failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			conn.Close()
			continue
		}
		s.running.Go(func() { s.serveConn(conn) })
	}
}

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 50 * time.Millisecond

// admit adds a connection to the set of open ones. It reports false if the server
// is closed or maxServerConns are open.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	conn.Close()
}

func (s *Server) serveConn(raw net.Conn) {
	defer s.remove(raw)
	conn, peer, err := s.handshake(raw)
	if err != nil {
		s.log.WithError(err).WithField("peer", raw.RemoteAddr()).Warn("rpc_peer_refused")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.readCalls(ctx, conn, peer)
}

func (s *Server) handshake(raw net.Conn) (net.Conn, Peer, error) {
	if s.tls == nil {
		return raw, Peer{Addr: raw.RemoteAddr()}, nil
	}
	conn := tls.Server(raw, s.tls)
	raw.SetDeadline(time.Now().Add(writeTimeout))
	if err := conn.Handshake(); err != nil {
		return nil, Peer{}, err
	}
	name := conn.ConnectionState().PeerCertificates[0].Subject.CommonName
	return conn, Peer{Name: name, Addr: raw.RemoteAddr()}, nil
}

// readCalls serves the calls of a connection concurrently, up to maxCallsPerConn
// at a time, until reading from the connection fails.
func (s *Server) readCalls(ctx context.Context, conn net.Conn, peer Peer) {
	var (
		writeMu  sync.Mutex
		calls    sync.WaitGroup
		inFlight = make(chan struct{}, maxCallsPerConn)
	)
	defer calls.Wait()
	for {
		conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		request, err := readFrame(conn)
		if err != nil {
			return
		}
		inFlight <- struct{}{}
		calls.Go(func() {
			defer func() { <-inFlight }()
			reply := s.answer(ctx, peer, request)
			writeMu.Lock()
			defer writeMu.Unlock()
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := writeFrame(conn, reply); err != nil {
				conn.Close()
			}
		})
	}
}

func (s *Server) answer(ctx context.Context, peer Peer, request envelope) envelope {
	reply := envelope{Kind: frameReply, Method: request.Method, ID: request.ID}
	value, err := s.dispatch(ctx, peer, request)
	if err == nil {
		reply.Body, err = codec.Marshal(value)
	}
	if err != nil {
		reply.Kind = frameError
		reply.Body, _ = codec.Marshal(err.Error())
	}
	return reply
}

func (s *Server) dispatch(ctx context.Context, peer Peer, request envelope) (any, error) {
	handler, known := s.handlers[request.Method]
	if !known {
		return nil, Error.New("method %d is not served here", request.Method)
	}
	return handler(ctx, peer, request.Body)
}
