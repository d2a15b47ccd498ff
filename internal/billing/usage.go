// Package billing computes what customers have used and what they will be
// billed, from the operators' lists of customers and plans and from the metering
// totals. A unit is one served request. The package performs no I/O, and amounts
// of money are exact decimals.
package billing

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("billing")

// Month is a calendar month in UTC, formatted as in "2026-12".
type Month string

const monthLayout = "2006-01"

// MonthOf returns the UTC calendar month of an instant.
func MonthOf(at time.Time) Month { return Month(at.UTC().Format(monthLayout)) }

// Start returns the first instant of the month, or an error if the month is
// malformed.
func (m Month) Start() (time.Time, error) {
	start, err := time.Parse(monthLayout, string(m))
	if err != nil {
		return time.Time{}, Error.New("month: %q is not of the form YYYY-MM", string(m))
	}
	return start, nil
}

// Totals is the part of the stored document ledger.Metering that bills are computed
// from: the units that the customers of one shard have used in one month.
type Totals struct {
	Month Month          `json:"month"`
	Used  []ServiceUsage `json:"used"`
}

// ServiceUsage is the number of units of a service that a customer has used. Its stored
// form is that of ledger.Total.
type ServiceUsage struct {
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Units    uint64         `json:"units"`
}

// DecodeTotals decodes the totals of one shard. It fails if the month is
// malformed.
func DecodeTotals(body []byte) (Totals, error) {
	var totals Totals
	if err := json.Unmarshal(body, &totals); err != nil {
		return Totals{}, Error.New("totals: %v", err)
	}
	if _, err := totals.Month.Start(); err != nil {
		return Totals{}, err
	}
	return totals, nil
}

// Usage is the usage of all customers in one month.
type Usage struct {
	Month Month
	units map[usageKey]uint64
}

type usageKey struct {
	customer model.Customer
	service  model.Service
}

// NewUsage sums the totals of all shards for a month. Totals of other months
// are ignored.
func NewUsage(month Month, shards []Totals) Usage {
	usage := Usage{Month: month, units: map[usageKey]uint64{}}
	for _, totals := range shards {
		if totals.Month != month {
			continue
		}
		for _, used := range totals.Used {
			usage.units[usageKey{used.Customer, used.Service}] += used.Units
		}
	}
	return usage
}

// Units returns the units of a service that a customer has used.
func (u Usage) Units(customer model.Customer, service model.Service) uint64 {
	return u.units[usageKey{customer, service}]
}
