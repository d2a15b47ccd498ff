// Package http1 implements the target plug-in for targets that speak HTTP/1.1.
package http1

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/httponce"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/target"
)

const (
	dialTimeout           = time.Second
	defaultHealthInterval = 500 * time.Millisecond
	// maxHealthBytes is the maximum size of a health response that is read, in bytes.
	maxHealthBytes = 4 << 10
	maxSlots       = 10_000
	// drainReportLifetime is how long a target counts as draining after a
	// response reported so, even if its health endpoint, which may lag behind,
	// reports otherwise.
	drainReportLifetime = 30 * time.Second
)

// DrainHeader is the response header with which a target reports that it
// drains.
const DrainHeader = "Balsam-Target-State"

// DrainValue is the value of DrainHeader, and of the state in a health
// response, that reports that the target drains.
const DrainValue = "draining"

// Settings are the settings of the plug-in.
type Settings struct {
	// Address is the TCP address of the target.
	Address netip.AddrPort `json:"address"`
	// Slots is the maximum number of requests that the target can run at once, from 1
	// to 10000.
	Slots int `json:"slots"`
	// HealthPath is the path of the health endpoint; empty means that there is
	// none. Its response may be JSON with a member "state".
	HealthPath string `json:"health_path,omitempty"`
	// HealthIntervalMs is the interval between two health checks, in
	// milliseconds; 0 means 500.
	HealthIntervalMs int `json:"health_interval_ms,omitempty"`
}

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kernel.KindTarget,
		Name: "http1",
		New:  func() kernel.Module { return &Module{} },
	})
}

// Module is the plug-in. It implements target.Target.
type Module struct {
	settings Settings
	log      *logrus.Entry
	client   *httponce.Client
	stop     context.CancelFunc
	stopped  chan struct{}

	mu    sync.Mutex
	hints target.Hints
	// drainReportedAt is when a response last reported that the target drains.
	drainReportedAt time.Time
	// unreachable is set while the target does not accept connections.
	unreachable bool
}

// Provision implements kernel.Module.
func (m *Module) Provision(env kernel.Env, settings json.RawMessage) error {
	decoder := json.NewDecoder(bytes.NewReader(settings))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&m.settings); err != nil {
		return target.Error.New("http1 settings: %v", err)
	}
	m.log = env.Log
	m.hints = target.Hints{Healthy: true}
	m.client = httponce.New(dial)
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

// Drain implements kernel.Module. There is nothing to wait for: the request
// layer waits for its own requests.
func (m *Module) Drain(context.Context) error { return nil }

// Stop implements kernel.Module.
func (m *Module) Stop() error {
	if m.stop != nil {
		m.stop()
		<-m.stopped
	}
	if m.client != nil {
		m.client.Close()
	}
	return nil
}

// Slots implements target.Target.
func (m *Module) Slots() int { return m.settings.Slots }

// Hints implements target.Target.
func (m *Module) Hints() target.Hints {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hints
}

// Do implements target.Target.
func (m *Module) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	response, err := m.client.Do(ctx, m.settings.Address.String(), request)
	m.recordReachability(err)
	if err != nil {
		return nil, target.Error.Wrap(err)
	}
	m.recordDrainReport(response)
	return response, nil
}

// recordDrainReport records that the target drains if the response reports so.
func (m *Module) recordDrainReport(response *http.Response) {
	if response.Header.Get(DrainHeader) != DrainValue {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainReportedAt = time.Now()
	m.hints.Draining = true
}

// recordReachability records from the error of a request whether the target
// accepts connections; other failures say nothing about it. A target that has
// stopped accepting connections no longer drains, and counts as new once it
// accepts them again.
func (m *Module) recordReachability(err error) {
	var failure *httponce.Failure
	connectFailed := errors.As(err, &failure) && failure.ConnectFailed
	m.mu.Lock()
	defer m.mu.Unlock()
	if connectFailed && !m.unreachable {
		m.hints.Outages++
		m.hints.Draining = false
		m.drainReportedAt = time.Time{}
	}
	if connectFailed || err == nil {
		m.unreachable = connectFailed
	}
}

// pollHealth checks the health of the target at the configured interval. A check
// may take longer than a short interval, up to dialTimeout.
func (m *Module) pollHealth(ctx context.Context) {
	defer close(m.stopped)
	interval := time.Duration(m.settings.HealthIntervalMs) * time.Millisecond
	if interval == 0 {
		interval = defaultHealthInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		m.checkHealth(ctx, max(interval, dialTimeout))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkHealth queries the health endpoint. Without one, it only checks whether
// the target accepts connections.
func (m *Module) checkHealth(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if m.settings.HealthPath == "" {
		m.checkConnection(ctx)
		return
	}
	healthy, draining, err := m.queryHealth(ctx)
	m.recordReachability(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.hints
	m.hints.Healthy = healthy
	if err == nil {
		m.hints.Draining = draining || time.Since(m.drainReportedAt) < drainReportLifetime
	}
	if previous != m.hints {
		m.log.WithFields(logrus.Fields{"healthy": healthy, "draining": m.hints.Draining}).
			Info("event=target_hints_changed")
	}
}

// checkConnection opens a connection to the target and closes it again.
func (m *Module) checkConnection(ctx context.Context) {
	conn, err := dial(ctx, "tcp", m.settings.Address.String())
	if err == nil {
		conn.Close()
	} else if ctx.Err() == nil {
		err = &httponce.Failure{ConnectFailed: true, Cause: err}
	}
	m.recordReachability(err)
}

// queryHealth requests the health endpoint. A target is healthy if the status of the
// response is 200.
func (m *Module) queryHealth(ctx context.Context) (healthy, draining bool, err error) {
	address := m.settings.Address.String()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+m.settings.HealthPath, nil)
	if err != nil {
		return false, false, target.Error.Wrap(err)
	}
	response, err := m.client.Do(ctx, address, request)
	if err != nil {
		return false, false, target.Error.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	if err != nil {
		return false, false, target.Error.Wrap(err)
	}
	var health struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &health) // a body that is not such JSON contains no state
	draining = health.State == DrainValue || response.Header.Get(DrainHeader) == DrainValue
	return response.StatusCode == http.StatusOK, draining, nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}
