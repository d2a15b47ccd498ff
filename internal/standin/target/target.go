// Package target is a stand-in for a target: an HTTP/1.1 server with limited
// concurrency, a cold start during which overload makes it collapse, fault
// injection and counters of what it ran. Only tests and balsamdev use it.
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

// Error is the class of all errors of this package.
var Error = errs.Class("standin target")

// The control paths of the stand-in. Package targetapi defines the request paths.
const (
	// PathLedger returns the Ledger.
	PathLedger = "/standin/ledger"
	// PathHealth returns the Health.
	PathHealth = "/standin/health"
	// PathFault replaces the injected faults with the Fault in the request body.
	PathFault = "/standin/fault"
)

// readHeaderTimeout bounds the time to read the header of a request.
const readHeaderTimeout = 10 * time.Second

// Config describes a stand-in target.
type Config struct {
	// Slots is the maximum number of requests in flight; further ones are rejected
	// with status 503.
	Slots int
	// ServiceTime is the service time of one request when the target is warm.
	ServiceTime time.Duration
	// ColdCapacity is the number of requests in service that a cold target sustains.
	ColdCapacity int
	// ColdSlowdown is the factor on ServiceTime of a cold target; values below 1
	// count as 1.
	ColdSlowdown float64
	// WarmUp is the time from cold to warm; 0 starts warm unless WarmUpRequests is
	// set.
	WarmUp time.Duration
	// WarmUpRequests is the number of requests that must also be served to become
	// warm.
	WarmUpRequests int
	// CollapseAfter is how long the requests in service may exceed the sustainable
	// number before the target collapses.
	CollapseAfter time.Duration
	// CollapseDuration is how long a collapsed target fails all requests.
	CollapseDuration time.Duration
	// HealthLag is the age of the state that the health endpoint shows.
	HealthLag time.Duration
}

// Target is a stand-in target. All methods are safe for concurrent use.
type Target struct {
	config Config
	server *http.Server

	mu     sync.Mutex
	warmUp warmUpModel
	ledger Ledger
	fault  Fault
	// inFlight is the number of requests that hold a slot, and inService the number
	// of those in their service phase.
	inFlight  int
	inService int
	// overloadedSince is when inService began to exceed the capacity; zero while it
	// does not.
	overloadedSince time.Time
	// downUntil is the end of the newest collapse.
	downUntil time.Time
	// healthSamples holds the newest samples, oldest first.
	healthSamples []healthSample
}

// New returns a target whose warm-up starts now.
func New(config Config) *Target {
	t := &Target{
		config: config,
		ledger: newLedger(),
		warmUp: warmUpModel{
			slots: config.Slots, coldCapacity: config.ColdCapacity, coldSlowdown: max(config.ColdSlowdown, 1),
			duration: config.WarmUp, minServed: config.WarmUpRequests, since: time.Now(),
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

// Serve serves requests on a listener until Close or Shutdown. Its error wraps
// http.ErrServerClosed then.
func (t *Target) Serve(listener net.Listener) error {
	return Error.Wrap(t.server.Serve(listener))
}

// Close closes all connections at once, as a crash does.
func (t *Target) Close() error { return Error.Wrap(t.server.Close()) }

// Shutdown stops the target after its open requests have ended or ctx is done.
func (t *Target) Shutdown(ctx context.Context) error { return Error.Wrap(t.server.Shutdown(ctx)) }

// Ledger returns a copy of the counters.
func (t *Target) Ledger() Ledger {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.clone()
}

// RestartWarmUp makes the target cold again.
func (t *Target) RestartWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUp.restart(time.Now())
}

// SetCollapseAfter changes Config.CollapseAfter.
func (t *Target) SetCollapseAfter(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.CollapseAfter = limit
}

// Capacity returns the number of requests in service that the target sustains at
// its present warm-up progress.
func (t *Target) Capacity() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.warmUp.capacity(time.Now())
}

// SetFault replaces the injected faults. It ignores RestartWarmUp, which only the
// control path PathFault applies.
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
	_ = json.NewEncoder(w).Encode(value) // fails only when the client is gone
}
