// Package billing works out what customers have used and what they can be
// billed, from the operators' lists and the metering totals. It is pure, and
// all money is exact.
package billing

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("billing")

// Month names a calendar month in UTC, as in "2026-12".
type Month string

const monthLayout = "2006-01"

// MonthOf returns the calendar month in UTC that an instant falls into.
func MonthOf(at time.Time) Month { return Month(at.UTC().Format(monthLayout)) }

// Start returns the first instant of the month. It fails for a malformed month.
func (m Month) Start() (time.Time, error) {
	start, err := time.Parse(monthLayout, string(m))
	if err != nil {
		return time.Time{}, Error.New("month: %q is not of the form YYYY-MM", string(m))
	}
	return start, nil
}

// Totals is what the ledger keeps for one shard of customers: the units that
// were used in one month.
type Totals struct {
	Month Month          `json:"month"`
	Used  []ServiceUsage `json:"used"`
}

// ServiceUsage is the number of units of a service that a customer has used.
type ServiceUsage struct {
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Units    uint64         `json:"units"`
}

// DecodeTotals decodes the totals of one shard.
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

// Usage is what all customers have used in one month.
type Usage struct {
	Month Month
	units map[usageKey]uint64
}

type usageKey struct {
	customer model.Customer
	service  model.Service
}

// NewUsage makes the usage of a month from the totals of all shards. Totals of
// other months do not count.
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
