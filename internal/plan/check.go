package plan

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/shopspring/decimal"

	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// Limits of the operators' documents.
const (
	// MaxDocumentSize is the maximum size of an encoded document, in bytes.
	MaxDocumentSize = 1 << 20
	// MaxContentSize is the maximum size of an encoded Content, in bytes. The
	// remainder of a document is reserved for its header.
	MaxContentSize = 896 << 10
	// MaxNameSize is the maximum length of the name of a customer, plan, service,
	// zone or target, in bytes.
	MaxNameSize = 128
	// MaxCredentials is the maximum number of credentials of one customer.
	MaxCredentials = 64
	// MaxRequestsPerSecond bounds the rate of one allowance.
	MaxRequestsPerSecond = 1e9
	// MaxUnitsPerMonth bounds the units of one allowance.
	MaxUnitsPerMonth = 1_000_000_000_000_000
	// MaxMoneyDigits and MaxMoneyPlaces bound the digits of a fee or price before
	// and after the decimal point.
	MaxMoneyDigits = 18
	MaxMoneyPlaces = 9
)

// Descriptions of the allowed values, used in error messages.
const (
	allowedNames   = "a printable name of 1 to 128 bytes without leading or trailing spaces"
	allowedAmounts = "an amount of at least 0 with at most 18 digits before and 9 after the decimal point"
	allowedNonZero = "at least 1 if units_per_month is not 0, because no request could be served otherwise"
	allowedLists   = "a list, which may be empty"
)

var moneyLimit = decimal.New(1, MaxMoneyDigits)

// credentialSize is the length of a credential's hash, in hex digits.
const credentialSize = 64

var currencyPattern = regexp.MustCompile(`^[A-Z]{3}$`)

// Check implements Content.
func (c Customers) Check() error {
	var found problems
	if c.Customers == nil {
		found.add("customers", "missing", allowedLists)
	}
	names := firstPaths{}
	credentials := firstPaths{}
	for i, customer := range c.Customers {
		path := strictjson.IndexPath("customers", i)
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
		found.add("plans", "missing", allowedLists)
	}
	if !currencyPattern.MatchString(p.Currency) {
		found.add("currency", strconv.Quote(p.Currency), "an ISO 4217 code of three capital letters")
	}
	names := firstPaths{}
	for i, plan := range p.Plans {
		path := strictjson.IndexPath("plans", i)
		found.name(path+".name", string(plan.Name))
		found.unique(names, path+".name", string(plan.Name))
		found.money(path+".monthly_fee", plan.MonthlyFee)
		found.allowances(path+".allowances", plan.Allowances)
	}
	return found.err()
}

// Check implements Content.
func (o OutOfService) Check() error {
	var found problems
	zones := firstPaths{}
	for i, zone := range o.Zones {
		path := strictjson.IndexPath("zones", i)
		found.name(path, string(zone))
		found.unique(zones, path, string(zone))
	}
	targets := firstPaths{}
	for i, target := range o.Targets {
		path := strictjson.IndexPath("targets", i)
		found.name(path, string(target))
		found.unique(targets, path, string(target))
	}
	return found.err()
}

// CheckReferences returns an error that lists every customer whose plan is not
// among plans.
func CheckReferences(customers Customers, plans Plans) error {
	known := map[Name]struct{}{}
	for _, plan := range plans.Plans {
		known[plan.Name] = struct{}{}
	}
	var found problems
	for i, customer := range customers.Customers {
		if _, ok := known[customer.Plan]; !ok {
			path := strictjson.IndexPath("customers", i) + ".plan"
			found.add(path, strconv.Quote(string(customer.Plan)), "a plan in the list of plans")
		}
	}
	return found.err()
}

// firstPaths maps each value to the path of its first occurrence.
type firstPaths map[string]string

// problems collects the invalid fields of a Content. Its error wraps
// *strictjson.Problems.
type problems struct {
	list strictjson.Problems
}

func (p *problems) add(path, value, allowed string) {
	p.list.Add(strictjson.Problem{Path: path, Value: value, Allowed: allowed})
}

func (p *problems) err() error { return Error.Wrap(p.list.Err()) }

func (p *problems) name(path, name string) {
	if !nameAllowed(name) {
		p.add(path, strconv.Quote(name), allowedNames)
	}
}

func nameAllowed(name string) bool {
	if name == "" || len(name) > MaxNameSize || !utf8.ValidString(name) {
		return false
	}
	if strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) })
}

func (p *problems) unique(seen firstPaths, path, value string) {
	first, taken := seen[value]
	if taken {
		p.add(path, strconv.Quote(value), "a value that does not already occur at "+first)
		return
	}
	seen[value] = path
}

func (p *problems) credentials(seen firstPaths, path string, hashes []string) {
	if len(hashes) > MaxCredentials {
		p.add(path, fmt.Sprintf("%d credentials", len(hashes)), fmt.Sprintf("at most %d credentials", MaxCredentials))
		return
	}
	for i, hash := range hashes {
		at := strictjson.IndexPath(path, i)
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != credentialSize {
			p.add(at, strconv.Quote(hash), fmt.Sprintf("the SHA-256 hash of a token, as %d hex digits", credentialSize))
			continue
		}
		p.unique(seen, at, strings.ToLower(hash))
	}
}

func (p *problems) allowances(path string, allowances []Allowance) {
	services := firstPaths{}
	for i, allowance := range allowances {
		at := strictjson.IndexPath(path, i)
		p.name(at+".service", string(allowance.Service))
		p.unique(services, at+".service", string(allowance.Service))
		p.rate(at+".requests_per_second", allowance.RequestsPerSecond)
		if allowance.UnitsPerMonth > MaxUnitsPerMonth {
			value := strconv.FormatUint(allowance.UnitsPerMonth, 10)
			p.add(at+".units_per_month", value, fmt.Sprintf("at most %d", uint64(MaxUnitsPerMonth)))
		}
		p.money(at+".unit_price", allowance.UnitPrice)
		p.nonZeroLimits(at, allowance)
	}
}

// nonZeroLimits rejects an allowance whose units can never be used because
// another limit is 0.
func (p *problems) nonZeroLimits(path string, allowance Allowance) {
	if allowance.UnitsPerMonth == 0 {
		return
	}
	if allowance.Burst == 0 {
		p.add(path+".burst", "0", allowedNonZero)
	}
	if allowance.InFlight == 0 {
		p.add(path+".in_flight", "0", allowedNonZero)
	}
	if allowance.RequestsPerSecond == 0 {
		p.add(path+".requests_per_second", "0", allowedNonZero)
	}
}

func (p *problems) rate(path string, rate float64) {
	if rate >= 0 && rate <= MaxRequestsPerSecond {
		return
	}
	value := strconv.FormatFloat(rate, 'g', -1, 64)
	p.add(path, value, fmt.Sprintf("a number from 0 to %g", float64(MaxRequestsPerSecond)))
}

// money checks the exponent first, because the cost of decimal operations grows
// with the exponent.
func (p *problems) money(path string, amount decimal.Decimal) {
	switch {
	case amount.Exponent() > MaxMoneyDigits || amount.Exponent() < -MaxMoneyPlaces:
		p.add(path, "an amount with the exponent "+strconv.Itoa(int(amount.Exponent())), allowedAmounts)
	case amount.NumDigits() > MaxMoneyDigits+MaxMoneyPlaces:
		p.add(path, fmt.Sprintf("an amount of %d digits", amount.NumDigits()), allowedAmounts)
	case amount.IsNegative() || amount.GreaterThanOrEqual(moneyLimit):
		p.add(path, amount.String(), allowedAmounts)
	}
}
