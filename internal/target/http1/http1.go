// Package http1 is the target plug-in for targets that speak HTTP/1.1.
package http1

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/target"
)

const (
	dialTimeout       = time.Second
	idleTimeout       = 10 * time.Second
	maxAnswerHeader   = 64 << 10
	defaultHealthPoll = 500 * time.Millisecond
	maxHealthBody     = 4 << 10
	maxSlots          = 10_000
)

// DrainHeader is the answer header by which a target says that it drains.
const DrainHeader = "Balsam-Target-State"

// DrainValue is the value of DrainHeader, and of the state in a health answer,
// that says so.
const DrainValue = "draining"

// Settings are the settings of the plug-in.
type Settings struct {
	// Address is the TCP address of the target.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of requests that the target can run at once.
	Slots int `json:"slots"`
	// HealthPath is the path of the health endpoint; empty means that there is
	// none. Its answer may be JSON with a member "state".
	HealthPath string `json:"health_path,omitempty"`
	// HealthIntervalMs is the time between two health checks.
	HealthIntervalMs int `json:"health_interval_ms,omitempty"`
}

func init() {
	kernel.Register(kernel.Plugin{
		Edge: kernel.EdgeTarget,
		Name: "http1",
		New:  func() kernel.Module { return &Module{} },
	})
}

// Module is the plug-in. It implements target.Target.
type Module struct {
	settings Settings
	log      *logrus.Entry
	reusing  *http.Transport
	fresh    *http.Transport
	hints    atomic.Pointer[target.Hints]
	stop     context.CancelFunc
	stopped  chan struct{}
}

// Provision implements kernel.Module.
func (m *Module) Provision(env kernel.Env, settings json.RawMessage) error {
	if err := json.Unmarshal(settings, &m.settings); err != nil {
		return target.Error.New("http1 settings: %v", err)
	}
	m.log = env.Log
	m.hints.Store(&target.Hints{Healthy: true})
	m.reusing = newTransport()
	m.fresh = newTransport()
	m.fresh.DisableKeepAlives = true
	return nil
}

// Validate implements kernel.Module.
func (m *Module) Validate() error {
	if !m.settings.Address.IsValid() || m.settings.Address.Port() == 0 {
		return target.Error.New("http1 settings: address: want an IP address and port")
	}
	if m.settings.Slots < 1 || m.settings.Slots > maxSlots {
		return target.Error.New("http1 settings: slots: %d is not between 1 and %d", m.settings.Slots, maxSlots)
	}
	if m.settings.HealthIntervalMs < 0 {
		return target.Error.New("http1 settings: health_interval_ms: %d is negative", m.settings.HealthIntervalMs)
	}
	if path := m.settings.HealthPath; path != "" && path[0] != '/' {
		return target.Error.New("http1 settings: health_path: %q does not start with /", path)
	}
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.stopped = make(chan struct{})
	go m.pollHealth(ctx)
	return nil
}

// Drain implements kernel.Module. The requests belong to their callers, so
// there is nothing to wait for.
func (m *Module) Drain(context.Context) error { return nil }

// Stop implements kernel.Module.
func (m *Module) Stop() error {
	if m.stop != nil {
		m.stop()
		<-m.stopped
	}
	if m.fresh != nil {
		m.fresh.CloseIdleConnections()
		m.reusing.CloseIdleConnections()
	}
	return nil
}

// Slots implements target.Target.
func (m *Module) Slots() int { return m.settings.Slots }

// Hints implements target.Target.
func (m *Module) Hints() target.Hints { return *m.hints.Load() }

// Offer implements target.Target.
//
// Package net/http repeats some requests by itself, among them bodyless ones
// with an Idempotency-Key. It does so only on a connection that it used before
// and with a body that it can read again, so a non-idempotent request gets a
// connection of its own and no request has a body to read again.
func (m *Module) Offer(ctx context.Context, request *http.Request) (*http.Response, error) {
	var conn *offeredConn
	var before uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*offeredConn)
		before = conn.count()
	}}
	outgoing := request.Clone(httptrace.WithClientTrace(ctx, trace))
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = m.settings.Address.String()
	outgoing.RequestURI = ""
	outgoing.GetBody = nil
	if outgoing.Body == nil || outgoing.Body == http.NoBody {
		outgoing.Body = emptyBody{}
		outgoing.ContentLength = 0
	}
	response, err := m.transport(outgoing).RoundTrip(outgoing)
	if err != nil {
		sent := conn != nil && conn.seal(before)
		return nil, &target.OfferError{Sent: sent, Cause: err}
	}
	m.noteDrain(response)
	if !endIsCheckable(outgoing, response) {
		response.Body.Close()
		cause := target.Error.New("the answer has neither a length nor chunks")
		return nil, &target.OfferError{Sent: true, Incomplete: true, Cause: cause}
	}
	return response, nil
}

func (m *Module) transport(request *http.Request) *http.Transport {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return m.reusing
	default:
		return m.fresh
	}
}

func (m *Module) noteDrain(response *http.Response) {
	if response.Header.Get(DrainHeader) != DrainValue {
		return
	}
	hints := m.Hints()
	hints.Draining = true
	m.hints.Store(&hints)
}

// endIsCheckable reports whether a cut in the answer's body would be noticed.
// A body that ends with its connection gives no such sign.
func endIsCheckable(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0
}

func (m *Module) pollHealth(ctx context.Context) {
	defer close(m.stopped)
	if m.settings.HealthPath == "" {
		return
	}
	interval := time.Duration(m.settings.HealthIntervalMs) * time.Millisecond
	if interval == 0 {
		interval = defaultHealthPoll
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		hints := m.askHealth(ctx, interval)
		if old := m.Hints(); old != hints && ctx.Err() == nil {
			m.log.WithFields(logrus.Fields{"healthy": hints.Healthy, "draining": hints.Draining}).
				Info("event=target_hints_changed")
		}
		m.hints.Store(&hints)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Module) askHealth(ctx context.Context, interval time.Duration) target.Hints {
	ctx, cancel := context.WithTimeout(ctx, max(interval, dialTimeout))
	defer cancel()
	unhealthy := target.Hints{Draining: m.Hints().Draining}
	url := "http://" + m.settings.Address.String() + m.settings.HealthPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return unhealthy
	}
	response, err := m.reusing.RoundTrip(request)
	if err != nil {
		return unhealthy
	}
	defer response.Body.Close()
	var health struct {
		State string `json:"state"`
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBody))
	if err != nil {
		return unhealthy
	}
	_ = json.Unmarshal(body, &health) // a body of another form carries no state
	draining := health.State == DrainValue || response.Header.Get(DrainHeader) == DrainValue
	return target.Hints{Healthy: response.StatusCode == http.StatusOK, Draining: draining}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &offeredConn{Conn: conn}, nil
}

// offeredConn tells whether a request was written to, and forbids writes after
// that question was answered.
type offeredConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *offeredConn) Write(data []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *offeredConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return target.Error.Wrap(net.ErrClosed)
	}
	c.writes++
	return nil
}

func (c *offeredConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and reports whether any began after before.
func (c *offeredConn) seal(before uint64) bool {
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
