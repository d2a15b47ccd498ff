// Package httponce sends an HTTP/1.1 request at most once and reports whether any byte
// of it may have been written.
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

// Error is the class of all errors of this package. Its prefix in error texts stays
// "offer", so that searches of logs still match.
var Error = errs.Class("offer")

const (
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 10 * time.Second
	// maxResponseHeader is the maximum size of the header of a response, in bytes.
	maxResponseHeader = 64 << 10
	// maxIdleConns is the maximum number of idle connections to one address.
	maxIdleConns = 64
	// headerTimeout limits the wait for the header of a response, so that a frozen
	// target does not hold a slot indefinitely.
	headerTimeout = time.Minute
)

// Failure is the error of a request without a response.
type Failure struct {
	// MaybeSent is set when a byte of the request may have been written.
	MaybeSent bool
	// ConnectFailed is set when no connection could be opened although the context had
	// not ended.
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

// Dial opens a connection on which a request can be sent at once, after any TLS
// handshake.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests. It is safe for concurrent use.
//
// Package net/http retries some requests on its own, among them requests without a
// body that have an Idempotency-Key. It does so only on a reused connection and with a
// body that it can read again. Therefore a request whose method is not safe gets a new
// connection, and no request has a body that can be read again.
type Client struct {
	// pooled reuses its connections; nil means that none is reused. singleUse opens one
	// for each request.
	pooled    *http.Transport
	singleUse *http.Transport
}

// New returns a client that opens a connection with dial for each request. A server that
// sends a second copy of a response can then not answer another request with it.
func New(dial Dial) *Client {
	c := &Client{singleUse: newTransport(dial)}
	c.singleUse.DisableKeepAlives = true
	return c
}

// NewPooled returns a client that reuses connections for requests whose method is safe.
// It is for servers that are known to send each response once, such as other nodes.
func NewPooled(dial Dial) *Client {
	c := New(dial)
	c.pooled = newTransport(dial)
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
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// Close closes the idle connections. Requests that are still running are not affected.
func (c *Client) Close() {
	if c.pooled != nil {
		c.pooled.CloseIdleConnections()
	}
	c.singleUse.CloseIdleConnections()
}

// Do sends a request to a TCP address and returns the response once its header has
// arrived, or a *Failure. Reading the response's body ends with io.EOF only when the
// body is complete.
func (c *Client) Do(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	var conn *sealableConn
	var writesBefore uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*sealableConn)
		writesBefore = conn.writeCount()
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
		connectFailed := conn == nil && ctx.Err() == nil
		maybeSent := conn != nil && conn.seal(writesBefore)
		return nil, &Failure{MaybeSent: maybeSent, ConnectFailed: connectFailed, Cause: Error.Wrap(err)}
	}
	if !truncationDetectable(outgoing, response) {
		response.Body.Close()
		cause := Error.New("response has neither a content length nor chunked encoding")
		return nil, &Failure{MaybeSent: true, Cause: cause}
	}
	return response, nil
}

// transport returns the transport for a method: pooled, if there is one, for a safe one
// (RFC 9110, 9.2.1).
func (c *Client) transport(method string) *http.Transport {
	if c.pooled == nil {
		return c.singleUse
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return c.pooled
	default:
		return c.singleUse
	}
}

// truncationDetectable reports whether a truncation of a response's body would be
// detected. It would not be if the body ends when the connection is closed.
func truncationDetectable(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// sealableConn counts the writes on a connection. Once sealed, it rejects writes, so that
// a request that was reported as not sent is not written afterwards.
type sealableConn struct {
	net.Conn
	mu sync.Mutex
	// writes counts the writes that have begun.
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

func (c *sealableConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal rejects further writes and reports whether any write began after the first
// writesBefore writes.
func (c *sealableConn) seal(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > writesBefore
}

// emptyBody is a body without bytes. Unlike http.NoBody it does not let net/http retry
// the request.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
