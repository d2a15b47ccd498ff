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
	// minSilence is the shortest time without an answer that speaks against a
	// connection.
	minSilence = 250 * time.Millisecond
)

// Client calls peers. It keeps one connection to each address in use. All
// methods are safe for concurrent use.
type Client struct {
	tls *tls.Config

	mu     sync.Mutex
	conns  map[netip.AddrPort]*clientConn
	closed bool
}

// NewClient makes a client that presents and checks certificates as the TLS
// configuration says. Without one it speaks plain TCP, for networks that only
// the system's own machines reach.
func NewClient(config *tls.Config) *Client {
	return &Client{tls: config, conns: map[netip.AddrPort]*clientConn{}}
}

// Call sends a request to a peer and decodes its reply. It returns ErrNotSent
// when the peer got nothing, ErrNoReply when the outcome is unknown, and a
// RemoteError when the peer's handler failed.
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

// Close ends all connections. Calls in flight return ErrNoReply.
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
		c.forget(conn)
		return nil, Error.New("%w: %v", ErrNotSent, err)
	}
	return conn.call(ctx, method, body)
}

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
	conn = &clientConn{client: c, addr: addr, done: make(chan struct{}), waiting: map[uint64]chan envelope{}}
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) forget(conn *clientConn) {
	conn.fail()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
}

// clientConn is one connection with its calls in flight.
type clientConn struct {
	client *Client
	addr   netip.AddrPort
	done   chan struct{}
	once   sync.Once

	dialing sync.Mutex
	conn    net.Conn

	// received counts the frames that came.
	received atomic.Uint64

	mu      sync.Mutex
	writing sync.Mutex
	nextID  uint64
	waiting map[uint64]chan envelope
}

func (c *clientConn) broken() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *clientConn) fail() { c.once.Do(func() { close(c.done) }) }

func (c *clientConn) connect(ctx context.Context, config *tls.Config) error {
	c.dialing.Lock()
	defer c.dialing.Unlock()
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
	c.client.forget(c)
}

func (c *clientConn) readReplies(conn net.Conn) {
	defer c.fail()
	for {
		conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		reply, err := readFrame(conn)
		if err != nil {
			return
		}
		c.received.Add(1)
		c.mu.Lock()
		waiter := c.waiting[reply.ID]
		delete(c.waiting, reply.ID)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- reply
		}
	}
}

func (c *clientConn) call(ctx context.Context, method Method, body []byte) ([]byte, error) {
	sent, frames := time.Now(), c.received.Load()
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
		c.suspect(sent, frames)
		return nil, Error.New("%w: %v", ErrNoReply, ctx.Err())
	}
}

// suspect ends the connection when it has brought nothing since a call was sent
// that timed out, so that a half-open connection does not outlive the call.
func (c *clientConn) suspect(sent time.Time, frames uint64) {
	if time.Since(sent) >= minSilence && c.received.Load() == frames {
		c.fail()
	}
}

func (c *clientConn) register() (uint64, chan envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	waiter := make(chan envelope, 1)
	c.waiting[c.nextID] = waiter
	return c.nextID, waiter
}

func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *clientConn) send(request envelope) error {
	c.writing.Lock()
	defer c.writing.Unlock()
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
