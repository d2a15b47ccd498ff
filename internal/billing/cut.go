package billing

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// Reduction tells that a change would allow a customer fewer units this month than it
// has used, and fewer than before.
type Reduction struct {
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Used     uint64         `json:"used"`
	Before   uint64         `json:"before"`
	After    uint64         `json:"after"`
}

// String returns the cut in the operators' terms.
func (c Reduction) String() string {
	const form = "customer %s: %s: has used %d units this month; the change allows %d in place of %d"
	return fmt.Sprintf(form, c.Customer, c.Service, c.Used, c.After, c.Before)
}

// Reductions returns the customers that a change of the lists would cut below what
// they have used, in order.
func Reductions(before, after plan.Lists, usage Usage) []Reduction {
	old, recent := unitsAllowed(before), unitsAllowed(after)
	var cuts []Reduction
	for key, used := range usage.units {
		if recent[key] < used && recent[key] < old[key] {
			cuts = append(cuts, Reduction{
				Customer: key.customer, Service: key.service,
				Used: used, Before: old[key], After: recent[key],
			})
		}
	}
	slices.SortFunc(cuts, func(a, b Reduction) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
	return cuts
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
