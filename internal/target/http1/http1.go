// Package http1 is the target plug-in for targets that speak HTTP/1.1.
package http1

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/offer"
	"github.com/balsamlink/balsamlink/internal/target"
)

const (
	dialTimeout       = time.Second
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
	client   *offer.Client
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
	m.client = offer.New(dial)
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
func (m *Module) Hints() target.Hints { return *m.hints.Load() }

// Offer implements target.Target.
func (m *Module) Offer(ctx context.Context, request *http.Request) (*http.Response, error) {
	response, err := m.client.Do(ctx, m.settings.Address.String(), request)
	if err != nil {
		return nil, target.Error.Wrap(err)
	}
	m.noteDrain(response)
	return response, nil
}

func (m *Module) noteDrain(response *http.Response) {
	if response.Header.Get(DrainHeader) != DrainValue {
		return
	}
	hints := m.Hints()
	hints.Draining = true
	m.hints.Store(&hints)
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
	address := m.settings.Address.String()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+m.settings.HealthPath, nil)
	if err != nil {
		return unhealthy
	}
	response, err := m.client.Do(ctx, address, request)
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

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}
