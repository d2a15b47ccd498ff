package rpc

import (
	"bytes"
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
)

type echo struct {
	Text string
	N    uint64
}

func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "node-1"},
		DNSNames:     []string{"test"},
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func serve(t *testing.T) (netip.AddrPort, *Client, *x509.CertPool) {
	return serveOn(t, func(l net.Listener) net.Listener { return l })
}

func serveOn(t *testing.T, wrap func(net.Listener) net.Listener) (netip.AddrPort, *Client, *x509.CertPool) {
	certificate, pool := selfSigned(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}, logrus.NewEntry(log))
	server.Handle(MethodPing, Typed(func(_ context.Context, peer Peer, req echo) (echo, error) {
		if req.Text == "fail" {
			return echo{}, Error.New("asked to fail")
		}
		return echo{Text: peer.Name + " " + req.Text, N: req.N + 1}, nil
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server.Serve(wrap(listener))
	t.Cleanup(func() { server.Close() })
	client := NewClient(&tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, ServerName: "test"})
	t.Cleanup(client.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort(), client, pool
}

func TestCallReturnsTheReplyToItsOwnRequest(t *testing.T) {
	addr, client, _ := serve(t)
	for n := range uint64(20) {
		reply, err := Call[echo, echo](context.Background(), client, addr, MethodPing, echo{Text: "hi", N: n})
		require.NoError(t, err)
		require.Equal(t, echo{Text: "node-1 hi", N: n + 1}, reply)
	}
}

func TestHandlerErrorIsARemoteError(t *testing.T) {
	addr, client, _ := serve(t)
	_, err := Call[echo, echo](context.Background(), client, addr, MethodPing, echo{Text: "fail"})
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	_, err = Call[echo, echo](context.Background(), client, addr, MethodSync, echo{})
	require.ErrorContains(t, err, "not served")
}

func TestNoListenerMeansNotSent(t *testing.T) {
	_, client, _ := serve(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	listener.Close()
	_, err = Call[echo, echo](context.Background(), client, addr, MethodPing, echo{})
	require.ErrorIs(t, err, ErrNotSent)
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	addr, _, pool := serve(t)
	stranger := NewClient(&tls.Config{RootCAs: pool, ServerName: "test"})
	defer stranger.Close()
	_, err := Call[echo, echo](context.Background(), stranger, addr, MethodPing, echo{Text: "hi"})
	require.Error(t, err)
}

// deafListener stops reading from the connections that are open when told to.
type deafListener struct {
	net.Listener
	generation atomic.Int64
}

type deafConn struct {
	net.Conn
	listener   *deafListener
	generation int64
}

func (l *deafListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deafConn{conn, l, l.generation.Load()}, nil
}

func (c *deafConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.generation != c.listener.generation.Load() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	var deaf *deafListener
	addr, client, _ := serveOn(t, func(l net.Listener) net.Listener {
		deaf = &deafListener{Listener: l}
		return deaf
	})
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*minSilence)
		defer cancel()
		_, err := Call[echo, echo](ctx, client, addr, MethodPing, echo{Text: "hi"})
		return err
	}
	require.NoError(t, call())
	deaf.generation.Add(1)
	require.ErrorIs(t, call(), ErrNoReply)
	require.NoError(t, call())
}

func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	require.NoError(f, writeFrame(&good, envelope{Kind: frameRequest, Method: MethodPing, ID: 7, Body: []byte{0xc0}}))
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 2, 0x94, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = readFrame(bytes.NewReader(data))
	})
}
