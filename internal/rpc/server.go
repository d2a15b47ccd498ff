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
	writeTimeout      = 5 * time.Second
)

// Peer is the caller of a handler.
type Peer struct {
	// Name is the common name of the peer's certificate; it is empty where the
	// server speaks plain TCP.
	Name string
	Addr net.Addr
}

// Handler serves one method. The body is the msgpack form of the request; the
// returned value is encoded as the reply.
type Handler func(ctx context.Context, peer Peer, body []byte) (any, error)

// TypedHandler makes a Handler of a function on message types.
func TypedHandler[Req, Resp any](serve func(context.Context, Peer, Req) (Resp, error)) Handler {
	return func(ctx context.Context, peer Peer, body []byte) (any, error) {
		var req Req
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, Error.New("malformed request: %v", err)
		}
		return serve(ctx, peer, req)
	}
}

// Server answers calls. Handlers are registered before Serve.
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

// NewServer makes a server that requires client certificates as the TLS
// configuration says. Without one it speaks plain TCP and authenticates nobody.
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

// Serve starts answering on a listener and returns at once. It takes over the
// listener.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.running.Go(func() { s.accept(listener) })
}

// Close ends all connections and waits for the handlers.
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
			time.Sleep(acceptPause)
			continue
		}
		if !s.admit(conn) {
			conn.Close()
			continue
		}
		s.running.Go(func() { s.serveConn(conn) })
	}
}

const acceptPause = 50 * time.Millisecond

func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	conn.Close()
}

func (s *Server) serveConn(raw net.Conn) {
	defer s.forget(raw)
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

func (s *Server) readCalls(ctx context.Context, conn net.Conn, peer Peer) {
	var (
		writing sync.Mutex
		calls   sync.WaitGroup
		slots   = make(chan struct{}, maxCallsPerConn)
	)
	defer calls.Wait()
	for {
		conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		request, err := readFrame(conn)
		if err != nil {
			return
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			reply := s.answer(ctx, peer, request)
			writing.Lock()
			defer writing.Unlock()
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
