package cluster

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const testServerName = "cluster.test"

// secrets is one self-signed certificate, with its key, that all nodes of a test
// share.
type secrets struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

func newSecrets(t *testing.T) secrets {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "node"},
		DNSNames:     []string{testServerName},
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	return secretsOf(t, der, key)
}

func secretsOf(t require.TestingT, der []byte, key *ecdsa.PrivateKey) secrets {
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return secrets{tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool}
}

func (s secrets) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.pool,
	}
}

func (s secrets) client() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{s.certificate}, RootCAs: s.pool, ServerName: testServerName}
}

// member is one node of a test with the server, client and listener that its
// process would have.
type member struct {
	*Node
	server   *rpc.Server
	client   *rpc.Client
	listener *blockableListener
	stopped  bool
}

type memberConfig struct {
	name        model.NodeID
	service     model.Service
	zone        model.Zone
	listen      string
	seeds       []netip.AddrPort
	platform    platform.Store
	incarnation uint64
	check       func(Document) error
}

func (s secrets) start(t *testing.T, config memberConfig) *member {
	m, stop := s.run(t, config)
	t.Cleanup(stop)
	return m
}

// run starts a member and returns a function that stops it.
func (s secrets) run(t require.TestingT, config memberConfig) (*member, func()) {
	if config.listen == "" {
		config.listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.listen)
	require.NoError(t, err)
	log := quietLog()
	m := &member{
		server:   rpc.NewServer(s.server(), log),
		client:   rpc.NewClient(s.client()),
		listener: &blockableListener{Listener: listener},
	}
	self := membership.Record{
		Node: config.name, Role: membership.RoleOf(config.service), State: membership.StateActive,
		Zone: config.zone, Service: config.service, Control: addrOf(listener), Incarnation: config.incarnation, Slots: 8,
	}
	m.Node, err = New(Config{
		Self: self, Client: m.client, Server: m.server, Seeds: config.seeds, Platform: config.platform,
		Check: config.check, Log: log,
	})
	require.NoError(t, err)
	m.server.Serve(m.listener)
	m.Start(context.Background())
	return m, m.kill
}

// kill ends the member without notifying others, as a crash does.
func (m *member) kill() {
	if m.stopped {
		return
	}
	m.stopped = true
	m.listener.closed.Store(true)
	m.Stop()
	m.client.Close()
	m.server.Close()
}

func (m *member) addr() netip.AddrPort { return addrOf(m.listener.Listener) }

func addrOf(listener net.Listener) netip.AddrPort { return listener.Addr().(*net.TCPAddr).AddrPort() }

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// blockableListener is a listener whose connections can be made to discard all
// incoming data, as a half-open connection does.
type blockableListener struct {
	net.Listener
	// blocked makes the connections discard incoming data. closed ends this, so
	// that the test can shut the member down.
	blocked atomic.Bool
	closed  atomic.Bool
}

func (l *blockableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blockableConn{Conn: conn, listener: l}, nil
}

type blockableConn struct {
	net.Conn
	listener *blockableListener
}

func (c *blockableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.listener.blocked.Load() && !c.listener.closed.Load() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// waitFor waits until a condition holds and returns the time that took.
func waitFor(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	started := model.Now()
	require.Eventually(t, holds, limit, 5*time.Millisecond, what)
	return model.Now().Sub(started)
}

// sees reports whether the members' views contain exactly these nodes.
func sees(members []*member, nodes ...model.NodeID) bool {
	for _, m := range members {
		if len(m.View().Records) != len(nodes) {
			return false
		}
		for _, node := range nodes {
			if _, found := m.View().Find(node); !found {
				return false
			}
		}
	}
	return true
}
