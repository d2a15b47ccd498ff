package target

import (
	"net"
	"net/http"
	"time"
)

// Step names a point in the life of a request at which the target can fail.
type Step string

// The steps.
const (
	// StepBeforeRun ends the connection before the request runs.
	StepBeforeRun Step = "before-run"
	// StepAfterRun ends the connection after it ran and before the answer.
	StepAfterRun Step = "after-run"
	// StepMidAnswer ends the connection within the body of the answer.
	StepMidAnswer Step = "mid-answer"
)

// Fault is what goes wrong on purpose.
type Fault struct {
	// BreakAt ends connections at a step; empty means never.
	BreakAt Step `json:"break,omitempty"`
	// Count is the number of requests that Break hits; 0 means all.
	Count int `json:"count,omitempty"`
	// Shed refuses every request with 503.
	Shed bool `json:"shed,omitempty"`
	// Draining says in answers and at the health endpoint that the target drains.
	Draining bool `json:"draining,omitempty"`
	// HealthFrozen keeps the health endpoint at what it said first.
	HealthFrozen bool `json:"health_frozen,omitempty"`
	// HealthReportsIdle makes the health endpoint say that nothing runs and all is warm.
	HealthReportsIdle bool `json:"health_lies,omitempty"`
	// ExtraMs is added to the time of each request, in milliseconds.
	ExtraMs int `json:"extra_ms,omitempty"`
	// RestartWarmUp makes the target cold again, once.
	RestartWarmUp bool `json:"chill,omitempty"`
}

// breaks reports whether the fault hits this request at the step.
func (t *Target) breaks(step Step) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault.BreakAt != step {
		return false
	}
	if t.fault.Count == 0 {
		return true
	}
	t.fault.Count--
	if t.fault.Count == 0 {
		t.fault.BreakAt = ""
	}
	return true
}

// cut resets the connection of a request.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a plain close is a cut as well
	}
	conn.Close()
}

type healthSample struct {
	at     time.Time
	health Health
}

// Health is the answer of the health endpoint.
type Health struct {
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	Capacity int    `json:"bears"`
}

const maxHealthSamples = 1024

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.healthNow(time.Now()))
}

func (t *Target) healthNow(now time.Time) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	health := Health{State: "active", InFlight: t.inFlight, Capacity: t.warmth.bears(now)}
	if t.fault.Draining {
		health.State = "draining"
	}
	if t.fault.HealthReportsIdle {
		return Health{State: "active", Capacity: t.config.Slots}
	}
	if t.fault.HealthFrozen && len(t.health) > 0 {
		return t.health[0].health
	}
	t.health = append(t.health, healthSample{now, health})
	if len(t.health) > maxHealthSamples {
		t.health = t.health[1:]
	}
	shown := t.health[0].health
	for _, sample := range t.health {
		if now.Sub(sample.at) >= t.config.HealthLag {
			shown = sample.health
		}
	}
	return shown
}
