// Package plan defines the operators' documents: the customers with their
// plans, the plans with their allowances, and what is out of service. A Document
// is a Content with a Header that describes its version. The files that
// operators edit hold only the Content, which messages to operators call a list.
// The package performs no I/O.
package plan

import (
	"github.com/shopspring/decimal"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("plan")

// Content is the content of one of the operators' documents: Customers, Plans
// or OutOfService.
type Content interface {
	// Kind returns the kind of document to which the content belongs.
	Kind() model.DocumentKind
	// Check returns an error that lists every invalid field, or nil.
	Check() error
	// Normalized returns a copy in canonical order and spelling, so that equal
	// contents have equal encodings.
	Normalized() Content
}

// Customers is the list of customers with their plans.
type Customers struct {
	Customers []Customer `json:"customers"`
}

// Customer is one customer with its plan and credentials.
type Customer struct {
	Name model.Customer `json:"name" jsonschema:"minLength=1"`
	Plan Name           `json:"plan" jsonschema:"minLength=1"`
	// CredentialSHA256 holds the hex SHA-256 hashes of the bearer tokens that the
	// customer's clients present.
	CredentialSHA256 []string `json:"credential_sha256" jsonschema:"maxItems=64,pattern=^[0-9A-Fa-f]{64}$"`
}

// Name is the name of a plan.
type Name string

// Plans is the list of plans.
type Plans struct {
	// Currency is the ISO 4217 code of all prices in the list.
	Currency string `json:"currency" jsonschema:"pattern=^[A-Z]{3}$"`
	Plans    []Plan `json:"plans"`
}

// Plan defines what its customers may use and what it costs.
type Plan struct {
	Name Name `json:"name" jsonschema:"minLength=1"`
	// MonthlyFee is billed regardless of usage.
	MonthlyFee decimal.Decimal `json:"monthly_fee"`
	Allowances []Allowance     `json:"allowances"`
}

// Allowance is what a plan allows for one service. A service without an
// allowance may not be used.
type Allowance struct {
	Service           model.Service `json:"service" jsonschema:"minLength=1"`
	RequestsPerSecond float64       `json:"requests_per_second" jsonschema:"minimum=0,maximum=1000000000"`
	// Burst is the number of requests that may arrive at once after an idle
	// period.
	Burst uint32 `json:"burst"`
	// InFlight is the maximum number of concurrent requests.
	InFlight uint32 `json:"in_flight"`
	// UnitsPerMonth is the number of requests that may be served in one calendar
	// month, in UTC.
	UnitsPerMonth uint64 `json:"units_per_month"`
	// UnitPrice is billed for each served request.
	UnitPrice decimal.Decimal `json:"unit_price"`
}

// OutOfService lists the availability zones and targets that operators have
// taken out of service.
type OutOfService struct {
	Zones []model.Zone `json:"zones"`
	// Targets identifies each target by the node name of its agent.
	Targets []model.NodeID `json:"targets"`
}

// Kind implements Content.
func (Customers) Kind() model.DocumentKind { return model.DocumentCustomers }

// Kind implements Content.
func (Plans) Kind() model.DocumentKind { return model.DocumentPlans }

// Kind implements Content.
func (OutOfService) Kind() model.DocumentKind { return model.DocumentOutOfService }
