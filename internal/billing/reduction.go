package billing

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// Reduction reports that a change would allow a customer fewer units of a
// service this month than it has already used, and fewer than before the
// change. Used, Before and After are numbers of units.
type Reduction struct {
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Used     uint64         `json:"used"`
	Before   uint64         `json:"before"`
	After    uint64         `json:"after"`
}

// String describes the reduction in a line for operators.
func (r Reduction) String() string {
	const form = "customer %s: %s: has used %d units this month; the change allows %d instead of %d"
	return fmt.Sprintf(form, r.Customer, r.Service, r.Used, r.After, r.Before)
}

// Reductions returns the allowances that a change of the lists would lower
// below the units already used, sorted by customer and service.
func Reductions(before, after plan.Lists, usage Usage) []Reduction {
	oldLimits, newLimits := unitsAllowed(before), unitsAllowed(after)
	var reductions []Reduction
	for key, used := range usage.units {
		if newLimits[key] < used && newLimits[key] < oldLimits[key] {
			reductions = append(reductions, Reduction{
				Customer: key.customer, Service: key.service,
				Used: used, Before: oldLimits[key], After: newLimits[key],
			})
		}
	}
	slices.SortFunc(reductions, func(a, b Reduction) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
	return reductions
}

func unitsAllowed(lists plan.Lists) map[usageKey]uint64 {
	plans := plansByName(lists.Plans)
	allowed := map[usageKey]uint64{}
	for _, customer := range lists.Customers.Customers {
		for _, allowance := range plans[customer.Plan].Allowances {
			allowed[usageKey{customer.Name, allowance.Service}] = allowance.UnitsPerMonth
		}
	}
	return allowed
}

func plansByName(plans plan.Plans) map[plan.Name]plan.Plan {
	byName := make(map[plan.Name]plan.Plan, len(plans.Plans))
	for _, p := range plans.Plans {
		byName[p.Name] = p
	}
	return byName
}
