package observe

import (
	"slices"
	"sync"
)

// UnmetCondition is a condition that keeps a process from being ready.
type UnmetCondition struct {
	Condition string `json:"condition"`
	Text      string `json:"text"`
}

// Readiness holds the conditions that must be met before a process is ready. All
// methods are safe for concurrent use.
type Readiness struct {
	mu sync.Mutex
	// reasons holds why each unmet condition is not met, by the name of the condition.
	reasons map[string]string
}

// NewReadiness returns a Readiness in which none of the named conditions is met yet.
func NewReadiness(conditions ...string) *Readiness {
	readiness := &Readiness{reasons: map[string]string{}}
	for _, condition := range conditions {
		readiness.reasons[condition] = "not reached yet"
	}
	return readiness
}

// MarkMet records that a condition is met.
func (r *Readiness) MarkMet(condition string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons, condition)
}

// MarkUnmet records that a condition is not met, and why.
func (r *Readiness) MarkUnmet(condition, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[condition] = text
}

// UnmetConditions returns the conditions that are not met, in name order. The process
// is ready if there are none.
func (r *Readiness) UnmetConditions() []UnmetCondition {
	r.mu.Lock()
	defer r.mu.Unlock()
	unmet := make([]UnmetCondition, 0, len(r.reasons))
	for condition, text := range r.reasons {
		unmet = append(unmet, UnmetCondition{Condition: condition, Text: text})
	}
	slices.SortFunc(unmet, func(a, b UnmetCondition) int {
		if a.Condition < b.Condition {
			return -1
		}
		return 1
	})
	return unmet
}
