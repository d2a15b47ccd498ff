// Package ledger decides how much of a customer's allowance each agent may use.
// A Shard is the keeper's side: it grants slices under ceilings that are kept
// in the platform. A Holder is the agent's side: it admits requests from the
// slices in hand and reports use. Both are pure: events and the time go in,
// effects come out.
package ledger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("ledger")

// ShardCount is the number of shards that customers fall into.
const ShardCount = 16

// ShardID numbers a shard, from 0 to ShardCount-1.
type ShardID uint8

// ShardOf returns the shard of a customer. It is the same on every node.
func ShardOf(customer model.Customer) ShardID {
	return ShardID(xxhash.Sum64String(string(customer)) % ShardCount)
}

// Month is a calendar month in UTC, counted from January of year 0.
type Month uint32

const monthsPerYear = 12

// MonthOf returns the month that holds a wall-clock time.
func MonthOf(t time.Time) Month {
	t = t.UTC()
	return Month(t.Year()*monthsPerYear + int(t.Month()) - 1)
}

// String returns the month as in "2026-12".
func (m Month) String() string {
	return fmt.Sprintf("%04d-%02d", m/monthsPerYear, m%monthsPerYear+1)
}

// ParseMonth reads the form that String returns.
func ParseMonth(text string) (Month, error) {
	t, err := time.Parse("2006-01", text)
	if err != nil {
		return 0, Error.New("month %q is not of the form 2006-01", text)
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

// Months is the range of months for which grants are made. It holds one month,
// or two within the allowed clock difference around the end of a month.
type Months struct {
	First Month
	Last  Month
}

// clockDifference is how far the wall clocks of two nodes may be apart.
const clockDifference = 2 * time.Second

// MonthsAt returns the months that are current on some node at a time.
func MonthsAt(t time.Time) Months {
	return Months{First: MonthOf(t.Add(-clockDifference)), Last: MonthOf(t.Add(clockDifference))}
}

// Holds reports whether a month is in the range.
func (m Months) Holds(month Month) bool { return m.First <= month && month <= m.Last }

// Account names what an allowance is counted for.
type Account struct {
	Customer model.Customer
	Service  model.Service
}

// Fence numbers the keepers of one shard. Each new keeper has a higher one.
type Fence uint64

// firstFence is the fence of the first keeper that a shard ever has.
const firstFence Fence = 1

// Reason tells why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonNone stands for no refusal.
	ReasonNone Reason = 0
	// ReasonNoAllowance tells that the plan does not allow the service.
	ReasonNoAllowance Reason = 1
	// ReasonRate tells that the requests per second are used up.
	ReasonRate Reason = 2
	// ReasonInFlight tells that too many requests are open.
	ReasonInFlight Reason = 3
	// ReasonUnits tells that the units of the month are used up.
	ReasonUnits Reason = 4
	// ReasonNoOwner tells that no keeper answers and no slice is in hand.
	ReasonNoOwner Reason = 5
	// ReasonClock tells that the clocks of the nodes differ too much.
	ReasonClock Reason = 6
	// ReasonBusy tells that a bounded queue or table is full.
	ReasonBusy Reason = 7
)

// String returns the name of the reason used in logs and answers.
func (r Reason) String() string {
	names := [...]string{"none", "no-allowance", "rate", "in-flight", "units", "no-keeper", "clock", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Request is what an agent sends to the keeper of a shard.
type Request struct {
	Shard ShardID
	// Fence is the highest fence of the shard that the agent has seen.
	Fence       Fence
	Node        model.NodeID
	Incarnation uint64
	// Seq numbers the exchanges of the agent with this shard. A repeat has the
	// number and the content of the first try.
	Seq uint64
	// ReportNumber numbers the report in Uses; 0 stands for no report. A report is
	// repeated unchanged until it is acknowledged.
	ReportNumber uint64
	// CreatedHour is when the report was made, in hours since 1970.
	CreatedHour   uint32
	Usage         []Usage
	SliceRequests []SliceRequest
}

// Usage reports served units and gives unused ones back.
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
	// Tokens is the number of further rate tokens, and Back lists those that the
	// agent gives back unused.
	Tokens         uint32
	ReturnedTokens []ReturnedTokens
	// Units is the number of further units of the month.
	Units uint32
	// HeldSlots is the number of in-flight slots that the agent has, and Slots the
	// number that it wants to have.
	HeldSlots uint32
	Slots     uint32
}

// ReturnedTokens gives back unused tokens of the grant in one exchange.
type ReturnedTokens struct {
	Seq    uint64
	Tokens uint32
}

// Reply is the keeper's answer.
type Reply struct {
	// IsOwner reports whether the answering node keeps the shard. If not,
	// Redirect is the control address of the node to ask, or empty.
	IsOwner  bool
	Redirect string
	Fence    Fence
	Seq      uint64
	// Acknowledged is the newest report that is persistent.
	Acknowledged uint64
	Grants       []Grant
}

// Grant answers one Want.
type Grant struct {
	Month   Month
	Account Account
	Tokens  uint32
	// TokenTTLMS is how long the tokens are valid after the request was sent, in
	// milliseconds.
	TokenTTLMS uint32
	Units      uint32
	// Slots is the number of requests that the agent may have open.
	Slots uint32
	// FallbackRate is what the agent may use while no keeper can be reached, in
	// requests a second.
	FallbackRate float32
	// PlanUnits is the monthly allowance that the units were granted under.
	PlanUnits uint64
	// ScarceUnits and ScarceSlots tell the agent to give back at once the units
	// and the in-flight slots that it does not need.
	ScarceUnits bool
	ScarceSlots bool
	// Refused tells which part of the want could not be granted in full.
	Refused Reason
	// RetryAfterMS is when to ask again, in milliseconds.
	RetryAfterMS uint32
}
