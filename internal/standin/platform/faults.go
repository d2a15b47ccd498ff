package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The documented rate limits of the service, in calls per second.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// maxCallers bounds the number of callers that are counted by name.
const maxCallers = 8192

// otherCallers is the name under which the calls of callers beyond maxCallers are
// counted.
const otherCallers = "other"

// Outage is a way in which the service fails all calls.
type Outage string

// The outages.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse answers each call with status 503, without effect.
	OutageRefuse Outage = "refuse"
	// OutageHang blocks each call, without effect, until the caller gives up or the
	// faults change; it is answered with status 503 then.
	OutageHang Outage = "hang"
)

// Faults are the injected faults. They stay active until others are injected.
type Faults struct {
	Outage Outage `json:"outage,omitempty" jsonschema:"enum=,enum=refuse,enum=hang"`
	// DelayMillis is the delay before each call runs, in milliseconds.
	DelayMillis uint32 `json:"delay_ms,omitempty" jsonschema:"maximum=600000"`
	// DropResponses is the number of next write calls that run but get no response.
	// Calls for leases are write calls.
	DropResponses uint32 `json:"lose_answers,omitempty"`
	// ExpireLeases expires all leases at the time of injection.
	ExpireLeases bool `json:"lapse_leases,omitempty"`
}

// Calls counts the calls that the service received, rejected ones included.
type Calls struct {
	// ByKind counts the calls of each kind, such as "get" or "keep_alive".
	ByKind map[string]uint64 `json:"by_kind"`
	// ByCaller counts the calls of each caller.
	ByCaller map[string]uint64 `json:"by_caller"`
	// OverRate counts the calls that were rejected over the rate limits.
	OverRate uint64 `json:"over_rate"`
}

// callFilter runs before each call: it counts the call, enforces the rate limits
// and applies the injected faults.
type callFilter struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	faults Faults
	calls  Calls
	// faultsChanged is closed and replaced when faults are injected.
	faultsChanged chan struct{}
}

func newCallFilter() *callFilter {
	return &callFilter{
		writes:        rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:         rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		calls:         Calls{ByKind: map[string]uint64{}, ByCaller: map[string]uint64{}},
		faultsChanged: make(chan struct{}),
	}
}

func (f *callFilter) inject(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	close(f.faultsChanged)
	f.faultsChanged = make(chan struct{})
}

func (f *callFilter) currentFaults() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.faultsChanged
}

// countCall counts a call and reports whether the rate limits allow it.
func (f *callFilter) countCall(kind, caller string, write bool) bool {
	limiter := f.reads
	if write {
		limiter = f.writes
	}
	allowed := limiter.Allow()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.calls.ByCaller[caller]; !known && len(f.calls.ByCaller) >= maxCallers {
		caller = otherCallers
	}
	f.calls.ByKind[kind]++
	f.calls.ByCaller[caller]++
	if !allowed {
		f.calls.OverRate++
	}
	return allowed
}

// snapshot returns a copy of the counters.
func (f *callFilter) snapshot() Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := Calls{ByKind: map[string]uint64{}, ByCaller: map[string]uint64{}, OverRate: f.calls.OverRate}
	for kind, n := range f.calls.ByKind {
		copied.ByKind[kind] = n
	}
	for caller, n := range f.calls.ByCaller {
		copied.ByCaller[caller] = n
	}
	return copied
}

// applyFaults applies the outage or delay of the faults and reports whether the
// call may run.
func (f *callFilter) applyFaults(ctx context.Context) bool {
	faults, faultsChanged := f.currentFaults()
	if faults.Outage == OutageHang {
		waitForFaultChange(ctx, faultsChanged)
		return false
	}
	if faults.Outage == OutageRefuse {
		return false
	}
	if faults.DelayMillis == 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(faults.DelayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForFaultChange blocks until the caller cancels or faults are injected.
func waitForFaultChange(ctx context.Context, faultsChanged <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-faultsChanged:
	}
}

// takeResponseDrop reports whether the response to a write has to be dropped, and
// counts it against Faults.DropResponses.
func (f *callFilter) takeResponseDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DropResponses == 0 {
		return false
	}
	f.faults.DropResponses--
	return true
}
