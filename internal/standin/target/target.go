// Package target is a stand-in for a target: an HTTP/1.1 server with slots, a
// cold start that it can fall over in, faults on demand and a ledger of what it
// ran. It is used by tests and balsamdev only.
package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("standin target")

// The paths besides those of package answer.
const (
	PathLedger = "/standin/ledger"
	PathHealth = "/standin/health"
	PathFault  = "/standin/fault"
)

const readHeaderTimeout = 10 * time.Second

// Config describes a stand-in target.
type Config struct {
	Slots int
	// ServiceTime is the time of one request when the target is warm.
	ServiceTime time.Duration
	// ColdCapacity is the number of requests that a cold target bears at once.
	ColdCapacity int
	// ColdSlowdown is how many times slower a cold target answers.
	ColdSlowdown float64
	// WarmUp is the time from cold to warm; 0 starts warm.
	WarmUp time.Duration
	// WarmUpRequests is the number of requests that warming needs besides.
	WarmUpRequests int
	// CollapseAfter is how long the target bears too much before it collapses.
	CollapseAfter time.Duration
	// CollapseDuration is how long a collapsed target fails everything.
	CollapseDuration time.Duration
	// HealthLag is how old the answers of the health endpoint are.
	HealthLag time.Duration
}

// Target is a stand-in target. All methods are safe for concurrent use.
type Target struct {
	config Config
	server *http.Server

	mu        sync.Mutex
	warmth    warmth
	ledger    Ledger
	fault     Fault
	inFlight  int
	inService int
	overSince time.Time
	downUntil time.Time
	health    []healthSample
}

// New makes a target that starts cold now.
func New(config Config) *Target {
	t := &Target{
		config: config,
		ledger: newLedger(),
		warmth: warmth{
			slots: config.Slots, cold: config.ColdCapacity, factor: max(config.ColdSlowdown, 1),
			warming: config.WarmUp, work: config.WarmUpRequests, since: time.Now(),
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(targetapi.PathBooking, t.serveBooking)
	mux.HandleFunc(targetapi.PathFile, t.serveFile)
	mux.HandleFunc(targetapi.PathFeed, t.serveFeed)
	mux.HandleFunc(PathLedger, t.serveLedger)
	mux.HandleFunc(PathHealth, t.serveHealth)
	mux.HandleFunc(PathFault, t.serveFault)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return t
}

// Serve answers requests on a listener until Close.
func (t *Target) Serve(listener net.Listener) error {
	return Error.Wrap(t.server.Serve(listener))
}

// Close ends the target at once, as a crash does.
func (t *Target) Close() error { return Error.Wrap(t.server.Close()) }

// Shutdown ends the target when its open requests have ended.
func (t *Target) Shutdown(ctx context.Context) error { return Error.Wrap(t.server.Shutdown(ctx)) }

// Ledger returns a copy of what the target has run.
func (t *Target) Ledger() Ledger {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.clone()
}

// RestartWarmUp makes the target cold again.
func (t *Target) RestartWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmth.chill(time.Now())
}

// SetCollapseAfter changes how long the target bears too much before it collapses.
func (t *Target) SetCollapseAfter(patience time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.CollapseAfter = patience
}

// Capacity returns the number of requests that the target bears in service now.
func (t *Target) Capacity() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.warmth.bears(time.Now())
}

// SetFault replaces the faults in force.
func (t *Target) SetFault(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

func (t *Target) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Ledger())
}

func (t *Target) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fault); err != nil {
		http.Error(w, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	if fault.RestartWarmUp {
		t.RestartWarmUp()
	}
	fault.RestartWarmUp = false
	t.SetFault(fault)
	writeJSON(w, fault)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the asker is gone when this fails
}
