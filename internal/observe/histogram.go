package observe

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// KindHistogram metrics are distributions of values.
const KindHistogram Kind = "histogram"

const (
	// histogramMax is the maximum duration that a histogram records; longer
	// ones count as this.
	histogramMax = time.Minute
	// histogramDigits is the number of significant digits that a histogram
	// keeps.
	histogramDigits = 2
)

// Histogram is a distribution of durations, in microseconds. All methods are
// safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Observe records one duration.
func (h *Histogram) Observe(duration time.Duration) {
	value := min(max(duration, 0), histogramMax).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside the bounds.
	_ = h.values.RecordValue(value)
}

// histogramSummary is the representation of a histogram on the metrics page.
type histogramSummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	summary := histogramSummary{
		Count: h.values.TotalCount(),
		P50:   h.values.ValueAtQuantile(50),
		P90:   h.values.ValueAtQuantile(90),
		P99:   h.values.ValueAtQuantile(99),
		Max:   h.values.Max(),
	}
	h.mu.Unlock()
	text, err := json.Marshal(summary)
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Histogram adds a histogram of durations. It panics if the name is taken.
func (m *MetricSet) Histogram(name, help string) *Histogram {
	histogram := &Histogram{values: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)}
	m.add(Metric{Name: name, Kind: KindHistogram, Help: help}, histogram)
	return histogram
}
