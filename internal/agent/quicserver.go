package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/steering"
)

const (
	// flowIdleTimeout is the idle timeout of a flow.
	flowIdleTimeout = 30 * time.Second
	// handshakeIdleTimeout is the idle timeout of a handshake.
	handshakeIdleTimeout = 5 * time.Second
	// maxStreamsPerFlow is the maximum number of open requests of one flow.
	maxStreamsPerFlow = 100
	// The receive windows of a stream and of a flow, in bytes.
	streamWindow = 512 << 10
	flowWindow   = 1 << 20
	// maxHeaderBytes is the maximum size of the header of a request, in bytes.
	maxHeaderBytes = 16 << 10
	// closeDelay is how long Drain waits for the packets that close the flows
	// to be sent.
	closeDelay = 100 * time.Millisecond
)

// The HTTP/3 error codes with which flows are closed when their zone is taken out of
// service.
const (
	// ZoneOutCode, H3_REQUEST_REJECTED, closes flows on which no request has run. It
	// tells callers that they may send their requests again.
	ZoneOutCode = quic.ApplicationErrorCode(http3.ErrCodeRequestRejected)
	// ZoneOutAfterRequestCode, H3_NO_ERROR, closes all other flows. It promises nothing
	// about requests whose responses have not arrived: they may have run.
	ZoneOutAfterRequestCode = quic.ApplicationErrorCode(http3.ErrCodeNoError)
)

// RequestHandler serves the requests of callers.
type RequestHandler interface {
	http.Handler
	OccupancySource
}

// QUICServerConfig configures a QUICServer.
type QUICServerConfig struct {
	// DataAddress is the UDP address of the data socket.
	DataAddress netip.AddrPort
	Zone        model.Zone
	Service     model.Service
	Shared      keys.Shared
	// TLS contains the service's certificate.
	TLS     *tls.Config
	Handler RequestHandler
}

// QUICServer terminates the callers' QUIC connections.
type QUICServer struct {
	config      QUICServerConfig
	packetConn  *packetConn
	transport   *quic.Transport
	listener    *quic.EarlyListener
	http3Server *http3.Server
	openFlows   atomic.Int64
	// flows contains the open connections: *quic.Conn to *connState.
	flows sync.Map
}

// NewQUICServer opens the agent's data socket. It accepts no flows before
// Serve.
func NewQUICServer(config QUICServerConfig) (*QUICServer, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.DataAddress))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	address := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	location := steering.Location{Agent: unmap(address), Zone: config.Zone.Tag(), Service: config.Service.Tag()}
	issuer, err := newIssuer(config.Shared, location)
	if err != nil {
		socket.Close()
		return nil, err
	}
	server := &QUICServer{config: config, packetConn: newPacketConn(socket, config.Shared, issuer, location, config.Handler)}
	if err := server.openTransport(issuer); err != nil {
		socket.Close()
		return nil, err
	}
	server.http3Server = &http3.Server{
		Handler:        http.HandlerFunc(server.serveHTTP),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    server.connContext,
	}
	return server, nil
}

// Addr returns the address of the data socket.
func (s *QUICServer) Addr() netip.AddrPort {
	return unmap(s.packetConn.socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Serve accepts flows until Close is called or Drain has ended. It then
// returns nil.
func (s *QUICServer) Serve() error {
	err := s.http3Server.ServeListener(s.listener)
	if err == http.ErrServerClosed || err == quic.ErrServerClosed {
		return nil
	}
	return Error.Wrap(err)
}

// SetZoneOut sets whether the agent's zone is out of service, and the revision
// of the document that lists the zones out of service. When the zone goes out of
// service, all flows are closed at once.
func (s *QUICServer) SetZoneOut(zoneOut bool, revision model.Revision) {
	s.packetConn.zoneOutRevision.Store(uint64(revision))
	if s.packetConn.zoneOut.Swap(zoneOut) || !zoneOut {
		return
	}
	s.closeFlows()
}

// SetAcceptsFlows sets whether the agent accepts new flows.
func (s *QUICServer) SetAcceptsFlows(accepts bool) { s.packetConn.refusesNewFlows.Store(!accepts) }

// Drain asks the callers to end their flows and returns when all have ended,
// or with an error when the context is done. Flows that are still open then
// are closed.
func (s *QUICServer) Drain(ctx context.Context) error {
	err := s.http3Server.Shutdown(ctx)
	time.Sleep(closeDelay)
	return Error.Wrap(err)
}

// Close closes all flows and the socket.
func (s *QUICServer) Close() error {
	s.http3Server.Close()
	err := s.transport.Close()
	s.packetConn.socket.Close()
	return Error.Wrap(err)
}

// OpenFlows returns the number of open flows.
func (s *QUICServer) OpenFlows() int64 { return s.openFlows.Load() }

// newIssuer returns the issuer of the agent's connection IDs. Its counter
// starts at a random value, so that the IDs of two incarnations of an agent
// differ.
func newIssuer(shared keys.Shared, location steering.Location) (*steering.Issuer, error) {
	sealer, err := steering.NewSealer(shared.ConnectionIDKeys())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var random [4]byte
	rand.Read(random[:])
	start := binary.BigEndian.Uint32(random[:])
	return steering.NewIssuer(sealer, location, start, randomByte), nil
}

func (s *QUICServer) openTransport(issuer *steering.Issuer) error {
	resetKey := quic.StatelessResetKey(s.config.Shared.Reset)
	s.transport = &quic.Transport{
		Conn:                  s.packetConn,
		ConnectionIDGenerator: connectionIDGenerator{issuer},
		StatelessResetKey:     &resetKey,
	}
	var err error
	s.listener, err = s.transport.ListenEarly(s.tlsConfig(), &quic.Config{
		HandshakeIdleTimeout:           handshakeIdleTimeout,
		MaxIdleTimeout:                 flowIdleTimeout,
		MaxIncomingStreams:             maxStreamsPerFlow,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: flowWindow,
		MaxConnectionReceiveWindow:     flowWindow,
		DisablePathMTUDiscovery:        true,
		Allow0RTT:                      false,
	})
	return Error.Wrap(err)
}

func (s *QUICServer) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(s.config.TLS)
}

type connStateKey struct{}

// connState is the agent's state of one QUIC connection.
type connState struct {
	conn *quic.Conn
	mu   sync.Mutex
	// ranRequest is set when the first request of the connection has begun to run, and
	// closed when the connection has been closed because its zone is out of service.
	ranRequest, closed bool
}

// beginRequest reports whether a request may run, and whether it is the connection's
// first.
func (s *connState) beginRequest() (first, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false, false
	}
	first = !s.ranRequest
	s.ranRequest = true
	return first, true
}

// closeForZoneOut closes the connection. A request that has not begun does not run
// afterwards, so that ZoneOutCode is true.
func (s *connState) closeForZoneOut() {
	s.mu.Lock()
	s.closed = true
	code := ZoneOutCode
	if s.ranRequest {
		code = ZoneOutAfterRequestCode
	}
	s.mu.Unlock()
	s.conn.CloseWithError(code, "availability zone is out of service")
}

func (s *QUICServer) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	state := &connState{conn: conn}
	s.openFlows.Add(1)
	s.flows.Store(conn, state)
	context.AfterFunc(conn.Context(), func() {
		s.openFlows.Add(-1)
		s.flows.Delete(conn)
	})
	return context.WithValue(ctx, connStateKey{}, state)
}

// closeFlows closes all open flows because their zone is out of service.
func (s *QUICServer) closeFlows() {
	s.flows.Range(func(_, state any) bool {
		state.(*connState).closeForZoneOut()
		return true
	})
}

func (s *QUICServer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	state, known := r.Context().Value(connStateKey{}).(*connState)
	if known {
		first, allowed := state.beginRequest()
		if !allowed {
			panic(http.ErrAbortHandler)
		}
		if first {
			s.packetConn.requestStarted()
		}
	}
	s.config.Handler.ServeHTTP(w, r)
}

func randomByte() byte {
	var value [1]byte
	rand.Read(value[:])
	return value[0]
}

// connectionIDGenerator implements quic.ConnectionIDGenerator with an Issuer.
type connectionIDGenerator struct {
	issuer *steering.Issuer
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g connectionIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id, err := g.issuer.Next()
	if err != nil {
		return quic.ConnectionID{}, Error.Wrap(err)
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g connectionIDGenerator) ConnectionIDLen() int { return steering.ConnectionIDSize }
