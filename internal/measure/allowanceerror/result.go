// Package allowanceerror measures how much the usage that many agents admit
// together deviates from a plan: usage above the plan, and refused usage that the
// plan allows. It runs the decisions of internal/ledger in virtual time and
// compares them with baseline policies. In internal/ledger, the balancer that owns
// the customer's shard of the ledger, the shard owner, grants slices of the
// allowance to the agents.
package allowanceerror

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("allowanceerror")

// Result holds the figures of all policies under all loads.
type Result struct {
	Seed  uint64    `json:"seed"`
	Nodes int       `json:"nodes"`
	Runs  []Figures `json:"runs"`
}

// Figures holds the figures of one policy under one load.
type Figures struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	// Offered, Ideal and Admitted count requests: those that arrived, those that
	// one exact limiter for all nodes admits, and those that the policy admitted.
	Offered  int `json:"offered"`
	Ideal    int `json:"ideal"`
	Admitted int `json:"admitted"`
	// RateOvershootPercent is the excess of the admissions in the busiest 10 s over
	// the burst plus 10 s of the rate.
	RateOvershootPercent float64 `json:"rate_overshoot_percent"`
	// InFlightOvershoot is the maximum number of requests in flight above the plan.
	InFlightOvershoot int `json:"in_flight_overshoot"`
	// UnitsAbovePlan is the number of admitted units above the plan.
	UnitsAbovePlan int `json:"units_above_plan"`
	// RefusedAllowedPercent is the shortfall of Admitted below Ideal, as a
	// percentage of Ideal.
	RefusedAllowedPercent float64 `json:"refused_allowed_percent"`
	// PlatformCallsPerSecond is the rate of platform calls for this one customer.
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	// NodeBytesPerSecond is the traffic of the busiest node with the shard owner,
	// sent and received, including the headers of IP, TCP and TLS.
	NodeBytesPerSecond float64 `json:"node_bytes_per_second"`
	// WaitP99Ms is the 99th percentile of the time that admitted requests waited.
	WaitP99Ms float64 `json:"wait_p99_ms"`
}
