package observe

import (
	"encoding/json"
	"expvar"
	"fmt"
	"slices"
	"sync"
)

// Kind is the type of a metric.
type Kind string

// The kinds of metrics.
const (
	// KindCounter metrics never decrease.
	KindCounter Kind = "counter"
	// KindGauge metrics increase and decrease.
	KindGauge Kind = "gauge"
)

// StoreCallPrefix is the prefix of the names of counters of calls to the platform's store,
// by kind.
const StoreCallPrefix = "store_calls_"

// Metric describes one metric.
type Metric struct {
	Name string
	Kind Kind
	// Help is a one-line description. It states the unit if there is one.
	Help string
}

// Counter is a number that never decreases. All methods are safe for concurrent
// use.
type Counter struct {
	value expvar.Int
}

// Inc adds one.
func (c *Counter) Inc() { c.value.Add(1) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

func (c *Counter) Value() int64 { return c.value.Value() }

// Gauge is a number that increases and decreases. All methods are safe for
// concurrent use.
type Gauge struct {
	value expvar.Int
}

// Set replaces the number.
func (g *Gauge) Set(n int64) { g.value.Set(n) }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

func (g *Gauge) Value() int64 { return g.value.Value() }

// MetricSet is the set of metrics of one process. It is an expvar.Var that
// prints all of them as one JSON object. All methods are safe for concurrent
// use.
type MetricSet struct {
	mu      sync.Mutex
	vars    expvar.Map
	metrics []Metric
}

// NewMetricSet returns an empty set of metrics.
func NewMetricSet() *MetricSet {
	metrics := &MetricSet{}
	metrics.vars.Init()
	return metrics
}

// Counter adds a counter. It panics if the name is taken.
func (m *MetricSet) Counter(name, help string) *Counter {
	counter := &Counter{}
	m.add(Metric{Name: name, Kind: KindCounter, Help: help}, &counter.value)
	return counter
}

// Gauge adds a gauge. It panics if the name is taken.
func (m *MetricSet) Gauge(name, help string) *Gauge {
	gauge := &Gauge{}
	m.add(Metric{Name: name, Kind: KindGauge, Help: help}, &gauge.value)
	return gauge
}

// GaugeFunc adds a gauge that is computed when it is read. It panics if the
// name is taken.
func (m *MetricSet) GaugeFunc(name, help string, read func() int64) {
	m.add(Metric{Name: name, Kind: KindGauge, Help: help}, expvar.Func(func() any { return read() }))
}

// Metrics returns the descriptions of all metrics in name order.
func (m *MetricSet) Metrics() []Metric {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics := slices.Clone(m.metrics)
	slices.SortFunc(metrics, func(a, b Metric) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return metrics
}

// Values returns the current value of each metric by its name. It leaves out
// metrics that are not single numbers.
func (m *MetricSet) Values() map[string]int64 {
	values := map[string]int64{}
	m.vars.Do(func(variable expvar.KeyValue) {
		var value int64
		if err := json.Unmarshal([]byte(variable.Value.String()), &value); err == nil {
			values[variable.Key] = value
		}
	})
	return values
}

// String implements expvar.Var.
func (m *MetricSet) String() string { return m.vars.String() }

func (m *MetricSet) add(metric Metric, variable expvar.Var) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vars.Get(metric.Name) != nil {
		panic(fmt.Sprintf("observe: metric %s is registered twice", metric.Name))
	}
	m.vars.Set(metric.Name, variable)
	m.metrics = append(m.metrics, metric)
}
