package plan

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/shopspring/decimal"
)

// The limits of the operators' documents.
const (
	// MaxDocumentSize is the largest encoded document, in bytes.
	MaxDocumentSize = 1 << 20
	// MaxNameSize is the longest name of a customer, plan, service, zone or
	// target, in bytes.
	MaxNameSize = 128
	// MaxCredentials is the largest number of credentials of one customer.
	MaxCredentials = 64
	// MaxRequestsPerSecond bounds the rate of one allowance.
	MaxRequestsPerSecond = 1e9
	// MaxUnitsPerMonth bounds the units of one allowance.
	MaxUnitsPerMonth = 1_000_000_000_000_000
	// MaxMoneyDigits bounds the significant digits of a fee or price.
	MaxMoneyDigits = 24
	// MaxMoneyExponent and MinMoneyExponent bound the powers of ten of a fee or
	// price.
	MaxMoneyExponent = 12
	MinMoneyExponent = -12
)

// maxProblems bounds the problems that one error lists.
const maxProblems = 50

// credentialSize is the length of a credential's hash, in hex digits.
const credentialSize = 64

var currencyPattern = regexp.MustCompile(`^[A-Z]{3}$`)

// Problem is one offending field of a document.
type Problem struct {
	// Path leads to the field, as in "customers[3].plan".
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// CheckError lists the offending fields of a document, at most 50 of them.
type CheckError struct {
	Problems []Problem
}

// Error implements error.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Path + ": " + problem.Reason
	}
	return strings.Join(lines, "; ")
}

// Problems returns the offending fields of a CheckError, or nil for any other
// error.
func Problems(err error) []Problem {
	var check *CheckError
	if errors.As(err, &check) {
		return check.Problems
	}
	return nil
}

// Check implements Content.
func (c Customers) Check() error {
	var found problems
	if c.Customers == nil {
		found.add("customers", "is missing")
	}
	names := firsts{}
	credentials := firsts{}
	for i, customer := range c.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		found.name(path+".name", string(customer.Name))
		found.unique(names, path+".name", string(customer.Name))
		found.name(path+".plan", string(customer.Plan))
		found.credentials(credentials, path+".credential_sha256", customer.CredentialSHA256)
	}
	return found.err()
}

// Check implements Content.
func (p Plans) Check() error {
	var found problems
	if p.Plans == nil {
		found.add("plans", "is missing")
	}
	if !currencyPattern.MatchString(p.Currency) {
		found.add("currency", "is not an ISO 4217 code of three capital letters")
	}
	names := firsts{}
	for i, plan := range p.Plans {
		path := fmt.Sprintf("plans[%d]", i)
		found.name(path+".name", string(plan.Name))
		found.unique(names, path+".name", string(plan.Name))
		found.money(path+".monthly_fee", plan.MonthlyFee)
		found.allowances(path+".allowances", plan.Allowances)
	}
	return found.err()
}

// Check implements Content.
func (o Out) Check() error {
	var found problems
	zones := firsts{}
	for i, zone := range o.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		found.name(path, string(zone))
		found.unique(zones, path, string(zone))
	}
	targets := firsts{}
	for i, target := range o.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		found.name(path, string(target))
		found.unique(targets, path, string(target))
	}
	return found.err()
}

// CheckReferences returns an error that names every customer whose plan is not
// in the list of plans.
func CheckReferences(customers Customers, plans Plans) error {
	known := map[Name]struct{}{}
	for _, plan := range plans.Plans {
		known[plan.Name] = struct{}{}
	}
	var found problems
	for i, customer := range customers.Customers {
		if _, ok := known[customer.Plan]; !ok {
			reason := fmt.Sprintf("plan %q of customer %q is not in the list of plans", customer.Plan, customer.Name)
			found.add(fmt.Sprintf("customers[%d].plan", i), reason)
		}
	}
	return found.err()
}

// firsts maps each value to the path where it first stood.
type firsts map[string]string

type problems struct {
	list []Problem
}

func (p *problems) add(path, reason string) {
	if len(p.list) < maxProblems {
		p.list = append(p.list, Problem{Path: path, Reason: reason})
	}
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return Error.Wrap(&CheckError{Problems: p.list})
}

func (p *problems) name(path, name string) {
	switch {
	case name == "":
		p.add(path, "is empty")
	case len(name) > MaxNameSize:
		p.add(path, fmt.Sprintf("is longer than %d bytes", MaxNameSize))
	case !utf8.ValidString(name):
		p.add(path, "is not valid UTF-8")
	case strings.TrimSpace(name) != name:
		p.add(path, "begins or ends with a space")
	case strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }):
		p.add(path, "holds a character that cannot be printed")
	}
}

func (p *problems) unique(seen firsts, path, value string) {
	first, taken := seen[value]
	if taken {
		p.add(path, fmt.Sprintf("%q stands already at %s", value, first))
		return
	}
	seen[value] = path
}

func (p *problems) credentials(seen firsts, path string, hashes []string) {
	if len(hashes) > MaxCredentials {
		p.add(path, fmt.Sprintf("lists more than %d credentials", MaxCredentials))
		return
	}
	for i, hash := range hashes {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != credentialSize {
			p.add(at, fmt.Sprintf("is not %d hex digits", credentialSize))
			continue
		}
		p.unique(seen, at, strings.ToLower(hash))
	}
}

func (p *problems) allowances(path string, allowances []Allowance) {
	services := firsts{}
	for i, allowance := range allowances {
		at := fmt.Sprintf("%s[%d]", path, i)
		p.name(at+".service", string(allowance.Service))
		p.unique(services, at+".service", string(allowance.Service))
		p.rate(at+".requests_per_second", allowance.RequestsPerSecond)
		if allowance.UnitsPerMonth > MaxUnitsPerMonth {
			p.add(at+".units_per_month", fmt.Sprintf("is above %d", uint64(MaxUnitsPerMonth)))
		}
		p.money(at+".unit_price", allowance.UnitPrice)
		p.usable(at, allowance)
	}
}

// usable refuses an allowance of units that can never be used.
func (p *problems) usable(path string, allowance Allowance) {
	if allowance.UnitsPerMonth == 0 {
		return
	}
	if allowance.Burst == 0 {
		p.add(path+".burst", "is 0 while units_per_month is not; no request could be served")
	}
	if allowance.InFlight == 0 {
		p.add(path+".in_flight", "is 0 while units_per_month is not; no request could be served")
	}
}

func (p *problems) rate(path string, rate float64) {
	switch {
	case math.IsNaN(rate) || math.IsInf(rate, 0):
		p.add(path, "is not a finite number")
	case rate < 0:
		p.add(path, "is negative")
	case rate > MaxRequestsPerSecond:
		p.add(path, fmt.Sprintf("is above %g", float64(MaxRequestsPerSecond)))
	}
}

// money bounds the exponent before anything else, since the cost of working
// with a decimal follows its exponent.
func (p *problems) money(path string, amount decimal.Decimal) {
	switch {
	case amount.Exponent() > MaxMoneyExponent || amount.Exponent() < MinMoneyExponent:
		p.add(path, fmt.Sprintf("has a power of ten outside %d to %d", MinMoneyExponent, MaxMoneyExponent))
	case amount.NumDigits() > MaxMoneyDigits:
		p.add(path, fmt.Sprintf("has more than %d digits", MaxMoneyDigits))
	case amount.IsNegative():
		p.add(path, "is negative")
	}
}
