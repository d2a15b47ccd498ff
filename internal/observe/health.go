package observe

import (
	"slices"
	"sync"
)

// Reason is a condition that keeps a process from being ready.
type Reason struct {
	Condition string `json:"condition"`
	Text      string `json:"text"`
}

// Health holds the conditions that must be met before a process is ready. All
// methods are safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewHealth returns a Health in which none of the named conditions is met yet.
func NewHealth(conditions ...string) *Health {
	health := &Health{reasons: map[string]string{}}
	for _, condition := range conditions {
		health.reasons[condition] = "not reached yet"
	}
	return health
}

// MarkMet records that a condition is met.
func (h *Health) MarkMet(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reasons, condition)
}

// MarkUnmet records that a condition is not met, and why.
func (h *Health) MarkUnmet(condition, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reasons[condition] = text
}

// Reasons returns the conditions that are not met, in name order. The process
// is ready if there are none.
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
