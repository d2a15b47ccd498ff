// Package offer sends an HTTP/1.1 request at most once and tells whether any
// byte of it was written.
package httponce

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("offer")

const (
	idleTimeout     = 10 * time.Second
	maxAnswerHeader = 64 << 10
	maxIdleConns    = 64
	// headerTimeout is how long a target may take until the header of its
	// answer, so that a frozen one holds no slot for ever.
	headerTimeout = time.Minute
)

// Failure tells why an offered request has no answer.
type Failure struct {
	// MaybeSent tells that a byte of the request may have been written.
	MaybeSent bool
	// ConnectFailed tells that no connection could be opened.
	ConnectFailed bool
	Cause         error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.MaybeSent {
		return "offer: outcome unknown: " + f.Cause.Error()
	}
	return "offer: not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Dial opens a connection that is ready for a request.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client offers requests. It is safe for concurrent use.
//
// Package net/http repeats some requests by itself, among them bodyless ones
// with an Idempotency-Key. It does so only on a connection that it used before
// and with a body that it can read again, so a request that is not safe gets a
// connection of its own and no request has a body to read again.
type Client struct {
	reusing *http.Transport
	fresh   *http.Transport
}

// New makes a client that opens its connections with dial.
func New(dial Dial) *Client {
	c := &Client{reusing: newTransport(dial), fresh: newTransport(dial)}
	c.fresh.DisableKeepAlives = true
	return c
}

func newTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.reusing.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do offers a request to a TCP address and returns the answer once its header
// is there, or a *Failure. The body of the answer ends with io.EOF only when it
// is whole.
func (c *Client) Do(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	var conn *sealableConn
	var before uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*sealableConn)
		before = conn.count()
	}}
	outgoing := request.Clone(httptrace.WithClientTrace(ctx, trace))
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = address
	outgoing.RequestURI = ""
	outgoing.GetBody = nil
	if outgoing.Body == nil || outgoing.Body == http.NoBody {
		outgoing.Body = emptyBody{}
		outgoing.ContentLength = 0
	}
	response, err := c.transport(outgoing.Method).RoundTrip(outgoing)
	if err != nil {
		refused := conn == nil && ctx.Err() == nil
		sent := conn != nil && conn.seal(before)
		return nil, &Failure{MaybeSent: sent, ConnectFailed: refused, Cause: Error.Wrap(err)}
	}
	if !endIsCheckable(outgoing, response) {
		response.Body.Close()
		cause := Error.New("the answer has neither a length nor chunks")
		return nil, &Failure{MaybeSent: true, Cause: cause}
	}
	return response, nil
}

func (c *Client) transport(method string) *http.Transport {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return c.reusing
	default:
		return c.fresh
	}
}

// endIsCheckable reports whether a cut in the answer's body would be noticed.
// A body that ends with its connection gives no such sign.
func endIsCheckable(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// sealableConn tells whether a request was written to, and forbids writes after
// that question was answered.
type sealableConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *sealableConn) Write(data []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *sealableConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return Error.Wrap(net.ErrClosed)
	}
	c.writes++
	return nil
}

func (c *sealableConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and reports whether any began after before.
func (c *sealableConn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > before
}

// emptyBody has no bytes. Unlike http.NoBody it does not let net/http repeat
// the request.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
