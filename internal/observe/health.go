package observe

import (
	"slices"
	"sync"
)

// Reason is why a process is not ready.
type Reason struct {
	Condition string `json:"condition"`
	Text      string `json:"text"`
}

// Health keeps the conditions that must hold before a process is ready. All
// methods are safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewHealth makes a Health in which the named conditions do not hold yet.
func NewHealth(conditions ...string) *Health {
	health := &Health{reasons: map[string]string{}}
	for _, condition := range conditions {
		health.reasons[condition] = "not reached yet"
	}
	return health
}

// MarkMet tells that a condition holds.
func (h *Health) MarkMet(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reasons, condition)
}

// MarkUnmet tells that a condition does not hold, and why.
func (h *Health) MarkUnmet(condition, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reasons[condition] = text
}

// Reasons returns the conditions that do not hold, in name order. The process
// is ready when there are none.
func (h *Health) Reasons() []Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	reasons := make([]Reason, 0, len(h.reasons))
	for condition, text := range h.reasons {
		reasons = append(reasons, Reason{Condition: condition, Text: text})
	}
	slices.SortFunc(reasons, func(a, b Reason) int {
		if a.Condition < b.Condition {
			return -1
		}
		return 1
	})
	return reasons
}
