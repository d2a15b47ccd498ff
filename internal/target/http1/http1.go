// Package http1 is the target plug-in for targets that speak HTTP/1.1.
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
	dialTimeout       = time.Second
	defaultHealthPoll = 500 * time.Millisecond
	maxHealthBody     = 4 << 10
	maxSlots          = 10_000
	// drainLasts is how long an answer that says so makes a target drain although
	// its health endpoint, which may lag, says otherwise.
	drainLasts = 30 * time.Second
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
	// drainSaid is when an answer last said that the target drains.
	drainSaid time.Time
	absent    bool
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

// Drain implements kernel.Module. The requests belong to their callers, so
// there is nothing to wait for.
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

// Offer implements target.Target.
func (m *Module) Offer(ctx context.Context, request *http.Request) (*http.Response, error) {
	response, err := m.client.Do(ctx, m.settings.Address.String(), request)
	m.noteReached(err)
	if err != nil {
		return nil, target.Error.Wrap(err)
	}
	m.noteDrain(response)
	return response, nil
}

// noteDrain takes note of an answer that says that the target drains.
func (m *Module) noteDrain(response *http.Response) {
	if response.Header.Get(DrainHeader) != DrainValue {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainSaid = time.Now()
	m.hints.Draining = true
}

// noteReached takes note of whether anybody accepts connections. A target that
// was absent has ended its drain.
func (m *Module) noteReached(err error) {
	var failure *httponce.Failure
	refused := errors.As(err, &failure) && failure.ConnectFailed
	m.mu.Lock()
	defer m.mu.Unlock()
	if refused && !m.absent {
		m.hints.Outages++
		m.hints.Draining = false
		m.drainSaid = time.Time{}
	}
	if refused || err == nil {
		m.absent = refused
	}
}

func (m *Module) pollHealth(ctx context.Context) {
	defer close(m.stopped)
	interval := time.Duration(m.settings.HealthIntervalMs) * time.Millisecond
	if interval == 0 {
		interval = defaultHealthPoll
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

// checkHealth asks the health endpoint, or without one only whether anybody
// accepts connections.
func (m *Module) checkHealth(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if m.settings.HealthPath == "" {
		m.checkPresence(ctx)
		return
	}
	healthy, draining, err := m.askHealth(ctx)
	m.noteReached(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.hints
	m.hints.Healthy = healthy
	if err == nil {
		m.hints.Draining = draining || time.Since(m.drainSaid) < drainLasts
	}
	if before != m.hints {
		m.log.WithFields(logrus.Fields{"healthy": healthy, "draining": m.hints.Draining}).
			Info("event=target_hints_changed")
	}
}

func (m *Module) checkPresence(ctx context.Context) {
	conn, err := dial(ctx, "tcp", m.settings.Address.String())
	if err == nil {
		conn.Close()
	} else if ctx.Err() == nil {
		err = &httponce.Failure{ConnectFailed: true, Cause: err}
	}
	m.noteReached(err)
}

func (m *Module) askHealth(ctx context.Context) (healthy, draining bool, err error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBody))
	if err != nil {
		return false, false, target.Error.Wrap(err)
	}
	var health struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &health) // a body of another form carries no state
	draining = health.State == DrainValue || response.Header.Get(DrainHeader) == DrainValue
	return response.StatusCode == http.StatusOK, draining, nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}
