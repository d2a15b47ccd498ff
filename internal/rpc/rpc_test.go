package rpc

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/standin/mtls"
)

type echo struct {
	Text string
	N    uint64
}

func serve(t *testing.T) (netip.AddrPort, *Client, *tls.Config) {
	return serveOn(t, func(l net.Listener) net.Listener { return l })
}

func serveOn(t *testing.T, wrap func(net.Listener) net.Listener) (netip.AddrPort, *Client, *tls.Config) {
	config, err := mtls.NewConfig()
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(config, logrus.NewEntry(log))
	server.Handle(MethodPing, TypedHandler(func(_ context.Context, peer Peer, req echo) (echo, error) {
		if req.Text == "fail" {
			return echo{}, Error.New("asked to fail")
		}
		return echo{Text: peer.Name + " " + req.Text, N: req.N + 1}, nil
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server.Serve(wrap(listener))
	t.Cleanup(func() { server.Close() })
	client := NewClient(config)
	t.Cleanup(client.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort(), client, config
}

func TestCallReturnsTheReplyToItsOwnRequest(t *testing.T) {
	addr, client, _ := serve(t)
	for n := range uint64(20) {
		reply, err := Call[echo, echo](context.Background(), client, addr, MethodPing, echo{Text: "hi", N: n})
		require.NoError(t, err)
		require.Equal(t, echo{Text: mtls.ServerName + " hi", N: n + 1}, reply)
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

func TestCallWithoutListenerReturnsErrNotSent(t *testing.T) {
	_, client, _ := serve(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	listener.Close()
	_, err = Call[echo, echo](context.Background(), client, addr, MethodPing, echo{})
	require.ErrorIs(t, err, ErrNotSent)
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	addr, _, config := serve(t)
	anonymous := NewClient(&tls.Config{RootCAs: config.RootCAs, ServerName: mtls.ServerName})
	defer anonymous.Close()
	_, err := Call[echo, echo](context.Background(), anonymous, addr, MethodPing, echo{Text: "hi"})
	require.Error(t, err)
}

// stallingListener accepts connections that discard all received data once
// generation has been increased after they were accepted.
type stallingListener struct {
	net.Listener
	generation atomic.Int64
}

type stallingConn struct {
	net.Conn
	listener   *stallingListener
	generation int64
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{conn, l, l.generation.Load()}, nil
}

func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.generation != c.listener.generation.Load() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// If a peer's machine has been lost, its connection stays open but brings no more
// replies. The connection must be closed after a call has timed out on it;
// otherwise all later calls to the address would time out as well.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	var stalling *stallingListener
	addr, client, _ := serveOn(t, func(l net.Listener) net.Listener {
		stalling = &stallingListener{Listener: l}
		return stalling
	})
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*minUnresponsiveTime)
		defer cancel()
		_, err := Call[echo, echo](ctx, client, addr, MethodPing, echo{Text: "hi"})
		return err
	}
	require.NoError(t, call())
	stalling.generation.Add(1)
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
