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
	// maxIdleTime is how long a flow without any packet stays open.
	maxIdleTime = 30 * time.Second
	// handshakeIdleTime is how long a handshake without any packet stays open.
	handshakeIdleTime = 5 * time.Second
	// maxStreams bounds the open requests of one flow.
	maxStreams = 100
	// The receive windows of a stream and of a flow, in bytes.
	streamWindow = 512 << 10
	flowWindow   = 1 << 20
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// closeTime is how long a flow's close may take to leave the socket.
	closeTime = 100 * time.Millisecond
)

// ZoneOutCode is the HTTP/3 error code with which flows are given up when
// operators take their zone out of service (H3_REQUEST_REJECTED: the caller may
// send the request again).
const ZoneOutCode = quic.ApplicationErrorCode(http3.ErrCodeRequestRejected)

// Requests serves the requests of callers.
type Requests interface {
	http.Handler
	Flows
}

// QUICServerConfig is what a Front is made of.
type QUICServerConfig struct {
	DataAddress netip.AddrPort
	Zone        model.Zone
	Service     model.Service
	Shared      keys.Shared
	// TLS holds the service's certificate.
	TLS      *tls.Config
	Requests Requests
}

// QUICServer ends the callers' QUIC connections.
type QUICServer struct {
	config    QUICServerConfig
	conn      *packetConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	open      atomic.Int64
	// flows holds the open connections: *quic.Conn to *flow.
	flows sync.Map
}

// NewQUICServer opens the agent's data socket. Serve starts the work.
func NewQUICServer(config QUICServerConfig) (*QUICServer, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.DataAddress))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	place := steering.Location{Agent: unmap(bound), Zone: config.Zone.Tag(), Service: config.Service.Tag()}
	issuer, err := newIssuer(config.Shared, place)
	if err != nil {
		socket.Close()
		return nil, err
	}
	front := &QUICServer{config: config, conn: newPacketConn(socket, config.Shared, issuer, place, config.Requests)}
	if err := front.openTransport(issuer); err != nil {
		socket.Close()
		return nil, err
	}
	front.server = &http3.Server{
		Handler:        http.HandlerFunc(front.serveHTTP),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    front.connContext,
	}
	return front, nil
}

// Addr returns the data address.
func (f *QUICServer) Addr() netip.AddrPort {
	return unmap(f.conn.socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Serve accepts flows until Close or Drain has ended.
func (f *QUICServer) Serve() error {
	err := f.server.ServeListener(f.listener)
	if err == http.ErrServerClosed || err == quic.ErrServerClosed {
		return nil
	}
	return Error.Wrap(err)
}

// SetZoneOut tells what operators have taken out of service. A zone that is out has
// its flows given up at once.
func (f *QUICServer) SetZoneOut(zoneOut bool, revision model.Revision) {
	f.conn.revision.Store(uint64(revision))
	if f.conn.zoneOut.Swap(zoneOut) || !zoneOut {
		return
	}
	f.closeFlows()
}

// SetAcceptsFlows tells whether the agent takes new flows.
func (f *QUICServer) SetAcceptsFlows(open bool) { f.conn.closed.Store(!open) }

// Drain asks the callers to end their flows and returns when all have ended, or
// with an error when the context has. What is still open then is given up.
func (f *QUICServer) Drain(ctx context.Context) error {
	err := f.server.Shutdown(ctx)
	time.Sleep(closeTime)
	return Error.Wrap(err)
}

// Close gives up all flows and closes the socket.
func (f *QUICServer) Close() error {
	f.server.Close()
	err := f.transport.Close()
	f.conn.socket.Close()
	return Error.Wrap(err)
}

// OpenFlows returns the number of open flows.
func (f *QUICServer) OpenFlows() int64 { return f.open.Load() }

// newIssuer makes the issuer of the agent's connection IDs. The counter starts
// anywhere, so that the IDs of two starts of an agent differ.
func newIssuer(shared keys.Shared, place steering.Location) (*steering.Issuer, error) {
	sealer, err := steering.NewSealer(shared.ConnectionIDKeys())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var seed [4]byte
	rand.Read(seed[:])
	start := binary.BigEndian.Uint32(seed[:])
	return steering.NewIssuer(sealer, place, start, randomOctet), nil
}

func (f *QUICServer) openTransport(issuer *steering.Issuer) error {
	reset := quic.StatelessResetKey(f.config.Shared.Reset)
	f.transport = &quic.Transport{
		Conn:                  f.conn,
		ConnectionIDGenerator: idGenerator{issuer},
		StatelessResetKey:     &reset,
	}
	var err error
	f.listener, err = f.transport.ListenEarly(f.tlsConfig(), &quic.Config{
		HandshakeIdleTimeout:           handshakeIdleTime,
		MaxIdleTimeout:                 maxIdleTime,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: flowWindow,
		MaxConnectionReceiveWindow:     flowWindow,
		DisablePathMTUDiscovery:        true,
		Allow0RTT:                      false,
	})
	return Error.Wrap(err)
}

func (f *QUICServer) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(f.config.TLS)
}

type flowKey struct{}

// flow is what the agent notes of one QUIC connection.
type flow struct {
	conn *quic.Conn
	used atomic.Bool
}

func (f *QUICServer) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	state := &flow{conn: conn}
	f.open.Add(1)
	f.flows.Store(conn, state)
	context.AfterFunc(conn.Context(), func() {
		f.open.Add(-1)
		f.flows.Delete(conn)
	})
	return context.WithValue(ctx, flowKey{}, state)
}

func (f *QUICServer) closeFlows() {
	f.flows.Range(func(conn, _ any) bool {
		conn.(*quic.Conn).CloseWithError(ZoneOutCode, "availability zone is out of service")
		return true
	})
}

func (f *QUICServer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	state, known := r.Context().Value(flowKey{}).(*flow)
	if known && !state.used.Swap(true) {
		f.conn.requestStarted()
	}
	f.config.Requests.ServeHTTP(w, r)
}

func randomOctet() byte {
	var octet [1]byte
	rand.Read(octet[:])
	return octet[0]
}

// idGenerator makes an Issuer fit QUIC.
type idGenerator struct {
	issuer *steering.Issuer
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id, err := g.issuer.Next()
	if err != nil {
		return quic.ConnectionID{}, Error.Wrap(err)
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g idGenerator) ConnectionIDLen() int { return steering.ConnectionIDSize }
