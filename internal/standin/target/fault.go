package target

import (
	"net"
	"net/http"
	"time"
)

// Step is a stage of request processing at which the target can break the
// connection.
type Step string

// The steps of Fault.BreakAt.
const (
	// StepBeforeRun resets the connection before the request runs.
	StepBeforeRun Step = "before-run"
	// StepAfterRun resets the connection after the request ran and before the
	// response.
	StepAfterRun Step = "after-run"
	// StepMidAnswer breaks the connection halfway through the response body.
	StepMidAnswer Step = "mid-answer"
)

// Fault configures the injected faults. The zero value injects none.
type Fault struct {
	// BreakAt is the step at which connections break; empty means never.
	BreakAt Step `json:"break,omitempty"`
	// Count is the number of requests that BreakAt affects; 0 means all.
	Count int `json:"count,omitempty"`
	// Shed rejects every request with status 503.
	Shed bool `json:"shed,omitempty"`
	// Draining announces in responses and at the health endpoint that the target is
	// draining.
	Draining bool `json:"draining,omitempty"`
	// HealthFrozen makes the health endpoint repeat the oldest sample that it keeps.
	HealthFrozen bool `json:"health_frozen,omitempty"`
	// HealthReportsIdle makes the health endpoint report an idle, fully warm target
	// whatever its real state.
	HealthReportsIdle bool `json:"health_lies,omitempty"`
	// ExtraMs is added to the service time of each request, in milliseconds.
	ExtraMs int `json:"extra_ms,omitempty"`
	// RestartWarmUp makes the target cold at the time the fault is set.
	RestartWarmUp bool `json:"chill,omitempty"`
}

// takeBreak reports whether the connection of this request has to break at step,
// and counts the request against Fault.Count.
func (t *Target) takeBreak(step Step) bool {
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

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure, the plain close below still breaks the connection
	}
	conn.Close()
}

// healthSample is the state of the target at one request of the health endpoint.
type healthSample struct {
	at     time.Time
	health Health
}

// Health is the response of the health endpoint.
type Health struct {
	// State is "active" or "draining".
	State string `json:"state"`
	// InFlight is the number of requests between admission and the end of their
	// response.
	InFlight int `json:"in_flight"`
	// Capacity is the sustainable number of requests in service.
	Capacity int `json:"bears"`
}

// maxHealthSamples is the maximum number of samples that a target keeps.
const maxHealthSamples = 1024

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.sampleHealth(time.Now()))
}

// sampleHealth records the present state and returns the newest sample that is at
// least Config.HealthLag old, or the oldest sample when none is. While
// Fault.HealthReportsIdle or Fault.HealthFrozen decides what it returns, it records
// nothing.
func (t *Target) sampleHealth(now time.Time) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	health := Health{State: "active", InFlight: t.inFlight, Capacity: t.warmUp.capacity(now)}
	if t.fault.Draining {
		health.State = "draining"
	}
	if t.fault.HealthReportsIdle {
		return Health{State: "active", Capacity: t.config.Slots}
	}
	if t.fault.HealthFrozen && len(t.healthSamples) > 0 {
		return t.healthSamples[0].health
	}
	t.healthSamples = append(t.healthSamples, healthSample{now, health})
	if len(t.healthSamples) > maxHealthSamples {
		t.healthSamples = t.healthSamples[1:]
	}
	shown := t.healthSamples[0].health
	for _, sample := range t.healthSamples {
		if now.Sub(sample.at) >= t.config.HealthLag {
			shown = sample.health
		}
	}
	return shown
}
