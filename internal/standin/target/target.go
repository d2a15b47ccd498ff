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

	"github.com/balsamlink/balsamlink/internal/standin/answer"
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
	// Service is the time of one request when the target is warm.
	Service time.Duration
	// Cold is the number of requests that a cold target bears at once.
	Cold int
	// ColdFactor is how many times slower a cold target answers.
	ColdFactor float64
	// Warming is the time from cold to warm; 0 starts warm.
	Warming time.Duration
	// WarmingWork is the number of requests that warming needs besides.
	WarmingWork int
	// Patience is how long the target bears too much before it collapses.
	Patience time.Duration
	// Collapse is how long a collapsed target fails everything.
	Collapse time.Duration
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
			slots: config.Slots, cold: config.Cold, factor: max(config.ColdFactor, 1),
			warming: config.Warming, work: config.WarmingWork, since: time.Now(),
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(answer.PathBooking, t.serveBooking)
	mux.HandleFunc(answer.PathFile, t.serveFile)
	mux.HandleFunc(answer.PathFeed, t.serveFeed)
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

// Chill makes the target cold again.
func (t *Target) Chill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmth.chill(time.Now())
}

// SetPatience changes how long the target bears too much before it collapses.
func (t *Target) SetPatience(patience time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.Patience = patience
}

// Bears returns the number of requests that the target bears in service now.
func (t *Target) Bears() int {
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
	if fault.Chill {
		t.Chill()
	}
	fault.Chill = false
	t.SetFault(fault)
	writeJSON(w, fault)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the asker is gone when this fails
}
