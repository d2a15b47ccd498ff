package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlink/balsamlink/internal/codec"
)

const (
	dialTimeout       = time.Second
	clientIdleTimeout = time.Minute
	maxClientConns    = 1024
	// minUnresponsiveTime is the shortest time without any received frame after
	// which a timed-out call closes its connection. A shorter timeout does not
	// indicate that the connection is broken.
	minUnresponsiveTime = 250 * time.Millisecond
)

// Client sends calls to peers. It keeps one connection per address and closes
// it after a minute without replies. All methods are safe for concurrent use.
type Client struct {
	tls *tls.Config

	mu     sync.Mutex
	conns  map[netip.AddrPort]*clientConn
	closed bool
}

// NewClient returns a client that authenticates itself and its peers with the
// TLS configuration. A nil configuration selects plain TCP, for networks that
// only the system's own machines can reach.
func NewClient(config *tls.Config) *Client {
	return &Client{tls: config, conns: map[netip.AddrPort]*clientConn{}}
}

// Call sends a request to a peer and decodes its reply. It returns ErrNotSent
// if the peer received nothing, ErrNoReply if the outcome is unknown, and a
// RemoteError if the peer's handler failed.
func Call[Req, Resp any](ctx context.Context, c *Client, addr netip.AddrPort, method Method, req Req) (Resp, error) {
	var resp Resp
	body, err := codec.Marshal(&req)
	if err != nil {
		return resp, Error.Wrap(err)
	}
	reply, err := c.call(ctx, addr, method, body)
	if err != nil {
		return resp, err
	}
	if err := codec.Unmarshal(reply, &resp); err != nil {
		return resp, Error.New("malformed reply from %s: %v", addr, err)
	}
	return resp, nil
}

// Close closes all connections. Calls in flight return ErrNoReply.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		conn.fail()
	}
}

func (c *Client) call(ctx context.Context, addr netip.AddrPort, method Method, body []byte) ([]byte, error) {
	conn, err := c.conn(addr)
	if err != nil {
		return nil, err
	}
	if err := conn.connect(ctx, c.tls); err != nil {
		c.remove(conn)
		return nil, Error.New("%w: %v", ErrNotSent, err)
	}
	return conn.call(ctx, method, body)
}

// conn returns the connection to an address, which may not be established yet.
func (c *Client) conn(addr netip.AddrPort) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, Error.New("%w: client is closed", ErrNotSent)
	}
	conn := c.conns[addr]
	if conn != nil && !conn.broken() {
		return conn, nil
	}
	if conn == nil && len(c.conns) >= maxClientConns {
		return nil, Error.New("%w: %d connections are open", ErrNotSent, len(c.conns))
	}
	conn = &clientConn{client: c, addr: addr, done: make(chan struct{}), pending: map[uint64]chan envelope{}}
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) remove(conn *clientConn) {
	conn.fail()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
}

// clientConn is one connection and its calls in flight. It is usable until done
// is closed.
type clientConn struct {
	client    *Client
	addr      netip.AddrPort
	done      chan struct{}
	closeOnce sync.Once

	// dialMu serializes connect. conn is nil until connect has succeeded.
	dialMu sync.Mutex
	conn   net.Conn

	receivedFrames atomic.Uint64

	// mu guards lastID and pending; writeMu serializes the writing of frames.
	mu      sync.Mutex
	writeMu sync.Mutex
	// lastID is the ID of the latest call, 0 before the first.
	lastID uint64
	// pending holds the channel for the reply of each call in flight, by call ID.
	pending map[uint64]chan envelope
}

func (c *clientConn) broken() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// fail marks the connection as unusable. Its calls in flight return ErrNoReply,
// and closeWhenDone closes it.
func (c *clientConn) fail() { c.closeOnce.Do(func() { close(c.done) }) }

// connect establishes the connection unless it is established already.
func (c *clientConn) connect(ctx context.Context, config *tls.Config) error {
	c.dialMu.Lock()
	defer c.dialMu.Unlock()
	if c.conn != nil {
		return nil
	}
	if c.broken() {
		return Error.New("connection to %s failed", c.addr)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, config, c.addr)
	if err != nil {
		return Error.Wrap(err)
	}
	c.conn = conn
	go c.readReplies(conn)
	go c.closeWhenDone(conn)
	return nil
}

func dial(ctx context.Context, config *tls.Config, addr netip.AddrPort) (net.Conn, error) {
	if config == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", addr.String())
}

func (c *clientConn) closeWhenDone(conn net.Conn) {
	<-c.done
	conn.Close()
	c.client.remove(c)
}

func (c *clientConn) readReplies(conn net.Conn) {
	defer c.fail()
	for {
		conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		reply, err := readFrame(conn)
		if err != nil {
			return
		}
		c.receivedFrames.Add(1)
		c.mu.Lock()
		waiter := c.pending[reply.ID]
		delete(c.pending, reply.ID)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- reply
		}
	}
}

func (c *clientConn) call(ctx context.Context, method Method, body []byte) ([]byte, error) {
	sentAt, framesBefore := time.Now(), c.receivedFrames.Load()
	id, waiter := c.register()
	defer c.unregister(id)
	if err := c.send(envelope{Kind: frameRequest, Method: method, ID: id, Body: body}); err != nil {
		c.fail()
		return nil, Error.New("%w: %v", ErrNoReply, err)
	}
	select {
	case reply := <-waiter:
		return decodeReply(reply)
	case <-c.done:
		return nil, Error.New("%w: connection to %s ended", ErrNoReply, c.addr)
	case <-ctx.Done():
		c.failIfUnresponsive(sentAt, framesBefore)
		return nil, Error.New("%w: %v", ErrNoReply, ctx.Err())
	}
}

// failIfUnresponsive closes the connection if no frame was received since a
// timed-out call was sent at least minUnresponsiveTime ago, so that later calls
// don't use a half-open connection.
func (c *clientConn) failIfUnresponsive(sentAt time.Time, framesBefore uint64) {
	if time.Since(sentAt) >= minUnresponsiveTime && c.receivedFrames.Load() == framesBefore {
		c.fail()
	}
}

func (c *clientConn) register() (uint64, chan envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	waiter := make(chan envelope, 1)
	c.pending[c.lastID] = waiter
	return c.lastID, waiter
}

func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *clientConn) send(request envelope) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(c.conn, request)
}

func decodeReply(reply envelope) ([]byte, error) {
	if reply.Kind != frameError {
		return reply.Body, nil
	}
	var text string
	if err := codec.Unmarshal(reply.Body, &text); err != nil {
		return nil, Error.Wrap(err)
	}
	return nil, &RemoteError{Text: text}
}
