// Package ledger decides how much of a customer's allowance each agent may use.
// An allowance consists of a rate, a number of in-flight slots and a number of
// units per month, where a unit is one served request; an agent gets slices of
// it. Customers are divided into shards. A Shard is the state at the balancer
// that owns the shard: it grants slices, and it grants units only up to
// ceilings that are persistent in the platform, which is the external key-value
// store. An AgentQuota is the state at an agent: it admits requests from the
// slices it holds and reports usage. In an exchange, an agent sends a Request
// to the owner and gets a Reply. The package performs no I/O: events and the
// time are passed in, and decisions and messages are returned.
package ledger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

// ShardCount is the number of shards into which customers are divided.
const ShardCount = 16

// ShardID identifies a shard, from 0 to ShardCount-1.
type ShardID uint8

// ShardOf returns the shard of a customer, which is the same on every node.
func ShardOf(customer model.Customer) ShardID {
	return ShardID(xxhash.Sum64String(string(customer)) % ShardCount)
}

// Month is a calendar month in UTC, counted from January of year 0.
type Month uint32

const monthsPerYear = 12

// MonthOf returns the UTC month of a wall-clock time.
func MonthOf(t time.Time) Month {
	t = t.UTC()
	return Month(t.Year()*monthsPerYear + int(t.Month()) - 1)
}

// String formats the month as in "2026-12".
func (m Month) String() string {
	return fmt.Sprintf("%04d-%02d", m/monthsPerYear, m%monthsPerYear+1)
}

// ParseMonth parses the format that String returns.
func ParseMonth(text string) (Month, error) {
	t, err := time.Parse("2006-01", text)
	if err != nil {
		return 0, Error.New("month %q is not of the form YYYY-MM", text)
	}
	return MonthOf(t), nil
}

// MarshalText implements encoding.TextMarshaler.
func (m Month) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Month) UnmarshalText(text []byte) error {
	month, err := ParseMonth(string(text))
	*m = month
	return err
}

// Months is the range of months for which units are granted. It holds one
// month, or two within clockDifference of the end of a month.
type Months struct {
	First Month
	Last  Month
}

// clockDifference is the maximum difference between the wall clocks of two
// nodes.
const clockDifference = 2 * time.Second

// MonthsAt returns the months that may be current on some node at time t.
func MonthsAt(t time.Time) Months {
	return Months{First: MonthOf(t.Add(-clockDifference)), Last: MonthOf(t.Add(clockDifference))}
}

// Contains reports whether a month is in the range.
func (m Months) Contains(month Month) bool { return m.First <= month && month <= m.Last }

// Account identifies the customer and service to which an allowance applies.
type Account struct {
	Customer model.Customer
	Service  model.Service
}

// Fence is the fencing token of a shard owner. Each new owner of a shard has a
// higher one.
type Fence uint64

// firstFence is the fence of the first owner that a shard ever has.
const firstFence Fence = 1

// Reason is why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonNone means that there was no refusal.
	ReasonNone Reason = 0
	// ReasonNoAllowance means that the plan does not allow the service.
	ReasonNoAllowance Reason = 1
	// ReasonRate means that the requests per second are exhausted.
	ReasonRate Reason = 2
	// ReasonInFlight means that too many requests are in flight.
	ReasonInFlight Reason = 3
	// ReasonUnits means that the units of the month are exhausted.
	ReasonUnits Reason = 4
	// ReasonNoOwner means that the shard owner does not answer, or cannot raise a
	// ceiling, and no slice is available.
	ReasonNoOwner Reason = 5
	// ReasonClock means that the month of the request is not current, because the
	// clocks of the nodes differ too much.
	ReasonClock Reason = 6
	// ReasonBusy means that a bounded queue or table is full, or that the agent
	// is shutting down.
	ReasonBusy Reason = 7
)

// String returns the name of the reason used in logs, metrics and answers. The
// name of ReasonNoOwner is "no-keeper": operators search for it.
func (r Reason) String() string {
	names := [...]string{"none", "no-allowance", "rate", "in-flight", "units", "no-keeper", "clock", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Request is what an agent sends to the owner of a shard.
type Request struct {
	Shard ShardID
	// Fence is the highest fence of the shard that the agent has seen.
	Fence Fence
	Node  model.NodeID
	// Incarnation identifies one run of the agent's process. A later run has a higher
	// one.
	Incarnation uint64
	// Seq numbers the exchanges of the agent with this shard. A retransmission
	// keeps the number and the content; only Fence may rise.
	Seq uint64
	// ReportNumber numbers the report in Usage; 0 means no report. A report is
	// repeated unchanged until it is acknowledged.
	ReportNumber uint64
	// CreatedHour is when the report was created, in hours since 1970.
	CreatedHour   uint32
	Usage         []Usage
	SliceRequests []SliceRequest
}

// Usage reports the served units of an account in one month and returns unused
// ones.
type Usage struct {
	Month    Month
	Account  Account
	Served   uint64
	Returned uint64
}

// SliceRequest asks for slices of one account.
type SliceRequest struct {
	Month   Month
	Account Account
	// Tokens is the number of additional rate tokens. ReturnedTokens lists unused
	// tokens that the agent returns.
	Tokens         uint32
	ReturnedTokens []ReturnedTokens
	// Units is the number of additional units of the month.
	Units uint32
	// HeldSlots is the number of in-flight slots that the agent holds, and Slots
	// the number that it wants to hold.
	HeldSlots uint32
	Slots     uint32
}

// ReturnedTokens returns unused tokens that were granted in the exchange with
// the number Seq.
type ReturnedTokens struct {
	Seq    uint64
	Tokens uint32
}

// Reply is the answer to a Request.
type Reply struct {
	// IsOwner reports whether the answering node owns the shard. If it does not,
	// Redirect is the control address of the node to ask instead, or empty.
	IsOwner  bool
	Redirect string
	Fence    Fence
	Seq      uint64
	// Acknowledged is the number of the newest persistent report of the agent.
	Acknowledged uint64
	Grants       []Grant
}

// Grant answers one SliceRequest.
type Grant struct {
	Month   Month
	Account Account
	Tokens  uint32
	// TokenTTLMS is how long the tokens are valid, in milliseconds from the first
	// sending of the request.
	TokenTTLMS uint32
	Units      uint32
	// Slots is the number of requests that the agent may have in flight.
	Slots uint32
	// FallbackRate is the rate that the agent may use while no owner is
	// reachable, in requests per second.
	FallbackRate float32
	// PlanUnits is the monthly allowance under which the units were granted.
	PlanUnits uint64
	// ScarceUnits and ScarceSlots tell the agent to return unneeded units and
	// in-flight slots immediately.
	ScarceUnits bool
	ScarceSlots bool
	// Refused indicates which part of the slice request was not granted in full;
	// of several, the last in the order tokens, slots, units.
	Refused Reason
	// RetryAfterMS is the time after which to retry, in milliseconds.
	RetryAfterMS uint32
}
