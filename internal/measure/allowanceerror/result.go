// Package allowanceerror measures how far the use that many agents admit
// together is from what a plan allows: use above the plan, and refused use that
// the plan allowed. The decisions are those of internal/ledger, driven in
// virtual time beside two baselines.
package allowanceerror

import "github.com/zeebo/errs"

// Error is the class of all errors of this layer.
var Error = errs.Class("allowanceerror")

// Result holds the figures of all runs.
type Result struct {
	Seed  uint64    `json:"seed"`
	Nodes int       `json:"nodes"`
	Runs  []Figures `json:"runs"`
}

// Figures holds the figures of one policy under one load.
type Figures struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	// Offered, Ideal and Admitted count requests: those that came, those that
	// one exact limiter for all nodes admits, and those that were admitted.
	Offered  int `json:"offered"`
	Ideal    int `json:"ideal"`
	Admitted int `json:"admitted"`
	// RateOvershootPercent is how far the busiest 10 s are above the burst and
	// 10 s of the rate.
	RateOvershootPercent float64 `json:"rate_overshoot_percent"`
	// InFlightOvershoot is the number of open requests above the plan.
	InFlightOvershoot int `json:"in_flight_overshoot"`
	// UnitsAbovePlan is the number of units above the plan.
	UnitsAbovePlan int `json:"units_above_plan"`
	// RefusedAllowedPercent is the part of the ideal that was not admitted.
	RefusedAllowedPercent float64 `json:"refused_allowed_percent"`
	// PlatformCallsPerSecond counts the calls for this one customer.
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	// NodeBytesPerSecond is what the busiest node sends and receives for the
	// exchanges, headers of TCP and TLS included.
	NodeBytesPerSecond float64 `json:"node_bytes_per_second"`
	// WaitP99Ms is the 99th percentile of the wait of admitted requests.
	WaitP99Ms float64 `json:"wait_p99_ms"`
}
