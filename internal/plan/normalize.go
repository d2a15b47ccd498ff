package plan

import (
	"cmp"
	"slices"
	"strings"

	"github.com/shopspring/decimal"
)

// Normalized implements Content.
func (c Customers) Normalized() Content {
	list := make([]Customer, len(c.Customers))
	for i, customer := range c.Customers {
		list[i] = customer.normalized()
	}
	slices.SortFunc(list, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	return Customers{Customers: list}
}

// Normalized implements Content.
func (p Plans) Normalized() Content {
	list := make([]Plan, len(p.Plans))
	for i, plan := range p.Plans {
		list[i] = plan.normalized()
	}
	slices.SortFunc(list, func(a, b Plan) int { return cmp.Compare(a.Name, b.Name) })
	return Plans{Currency: p.Currency, Plans: list}
}

// Normalized implements Content.
func (o OutOfService) Normalized() Content {
	return OutOfService{Zones: sorted(o.Zones), Targets: sorted(o.Targets)}
}

func (c Customer) normalized() Customer {
	hashes := make([]string, len(c.CredentialSHA256))
	for i, hash := range c.CredentialSHA256 {
		hashes[i] = strings.ToLower(hash)
	}
	slices.Sort(hashes)
	return Customer{Name: c.Name, Plan: c.Plan, CredentialSHA256: hashes}
}

func (p Plan) normalized() Plan {
	list := make([]Allowance, len(p.Allowances))
	for i, allowance := range p.Allowances {
		allowance.UnitPrice = canonicalAmount(allowance.UnitPrice)
		allowance.RequestsPerSecond += 0 // turns -0 into 0
		list[i] = allowance
	}
	slices.SortFunc(list, func(a, b Allowance) int { return cmp.Compare(a.Service, b.Service) })
	return Plan{Name: p.Name, MonthlyFee: canonicalAmount(p.MonthlyFee), Allowances: list}
}

// canonicalAmount returns the representation in which equal amounts of money
// have equal encodings.
func canonicalAmount(amount decimal.Decimal) decimal.Decimal {
	return decimal.RequireFromString(amount.String())
}

func sorted[T cmp.Ordered](list []T) []T {
	ordered := make([]T, len(list))
	copy(ordered, list)
	slices.Sort(ordered)
	return ordered
}
