package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The stated rates of the service, in calls a second.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// maxCallers bounds the callers that are counted by name.
const maxCallers = 8192

// otherCallers counts the calls of callers beyond maxCallers.
const otherCallers = "other"

// Outage is how the service fails.
type Outage string

// The outages.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse answers each call with 503, without effect.
	OutageRefuse Outage = "refuse"
	// OutageHang answers nothing, without effect.
	OutageHang Outage = "hang"
)

// Faults is what goes wrong until the next Faults are injected.
type Faults struct {
	Outage Outage `json:"outage,omitempty" jsonschema:"enum=,enum=refuse,enum=hang"`
	// DelayMillis passes before each call is carried out.
	DelayMillis uint32 `json:"delay_ms,omitempty" jsonschema:"maximum=600000"`
	// DropResponses is how many of the next writes take effect without an answer.
	DropResponses uint32 `json:"lose_answers,omitempty"`
	// ExpireLeases ends all leases now.
	ExpireLeases bool `json:"lapse_leases,omitempty"`
}

// Calls is how many calls came, by kind and by caller.
type Calls struct {
	ByKind map[string]uint64 `json:"by_kind"`
	// ByCaller counts the calls of each caller.
	ByCaller map[string]uint64 `json:"by_caller"`
	// OverRate is the number of calls that were refused over the stated rates.
	OverRate uint64 `json:"over_rate"`
}

// gate lets calls in: it counts them, holds the rates and does the faults.
type gate struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	faults Faults
	calls  Calls
	// healed is closed and replaced when other faults are injected.
	healed chan struct{}
}

func newGate() *gate {
	return &gate{
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		calls:  Calls{ByKind: map[string]uint64{}, ByCaller: map[string]uint64{}},
		healed: make(chan struct{}),
	}
}

func (g *gate) inject(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
	close(g.healed)
	g.healed = make(chan struct{})
}

func (g *gate) present() (Faults, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults, g.healed
}

// count notes a call and reports whether the stated rate allows it.
func (g *gate) count(kind, caller string, write bool) bool {
	limit := g.reads
	if write {
		limit = g.writes
	}
	allowed := limit.Allow()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.calls.ByCaller[caller]; !known && len(g.calls.ByCaller) >= maxCallers {
		caller = otherCallers
	}
	g.calls.ByKind[kind]++
	g.calls.ByCaller[caller]++
	if !allowed {
		g.calls.OverRate++
	}
	return allowed
}

func (g *gate) counted() Calls {
	g.mu.Lock()
	defer g.mu.Unlock()
	copied := Calls{ByKind: map[string]uint64{}, ByCaller: map[string]uint64{}, OverRate: g.calls.OverRate}
	for kind, n := range g.calls.ByKind {
		copied.ByKind[kind] = n
	}
	for caller, n := range g.calls.ByCaller {
		copied.ByCaller[caller] = n
	}
	return copied
}

// pass waits as the faults say and reports whether the call is carried out.
func (g *gate) pass(ctx context.Context) bool {
	faults, injected := g.present()
	if faults.Outage == OutageHang {
		hang(ctx, injected)
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

// hang waits until the caller goes away or other faults are injected.
func hang(ctx context.Context, injected <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-injected:
	}
}

// loseAnswer reports whether the answer to a write is to be lost.
func (g *gate) loseAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.DropResponses == 0 {
		return false
	}
	g.faults.DropResponses--
	return true
}
