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

// Counters is the set of metrics of one process. It is an expvar.Var that
// prints all of them as one JSON object. All methods are safe for concurrent
// use.
type Counters struct {
	mu      sync.Mutex
	vars    expvar.Map
	metrics []Metric
}

// NewCounters returns an empty set of metrics.
func NewCounters() *Counters {
	counters := &Counters{}
	counters.vars.Init()
	return counters
}

// Counter adds a counter. It panics if the name is taken.
func (c *Counters) Counter(name, help string) *Counter {
	counter := &Counter{}
	c.add(Metric{Name: name, Kind: KindCounter, Help: help}, &counter.value)
	return counter
}

// Gauge adds a gauge. It panics if the name is taken.
func (c *Counters) Gauge(name, help string) *Gauge {
	gauge := &Gauge{}
	c.add(Metric{Name: name, Kind: KindGauge, Help: help}, &gauge.value)
	return gauge
}

// GaugeFunc adds a gauge that is computed when it is read. It panics if the
// name is taken.
func (c *Counters) GaugeFunc(name, help string, read func() int64) {
	c.add(Metric{Name: name, Kind: KindGauge, Help: help}, expvar.Func(func() any { return read() }))
}

// Metrics returns the descriptions of all metrics in name order.
func (c *Counters) Metrics() []Metric {
	c.mu.Lock()
	defer c.mu.Unlock()
	metrics := slices.Clone(c.metrics)
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
func (c *Counters) Values() map[string]int64 {
	values := map[string]int64{}
	c.vars.Do(func(variable expvar.KeyValue) {
		var value int64
		if err := json.Unmarshal([]byte(variable.Value.String()), &value); err == nil {
			values[variable.Key] = value
		}
	})
	return values
}

// String implements expvar.Var.
func (c *Counters) String() string { return c.vars.String() }

func (c *Counters) add(metric Metric, variable expvar.Var) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vars.Get(metric.Name) != nil {
		panic(fmt.Sprintf("observe: metric %s is registered twice", metric.Name))
	}
	c.vars.Set(metric.Name, variable)
	c.metrics = append(c.metrics, metric)
}
