package plan

// Lists are the two lists that refer to each other.
type Lists struct {
	Customers Customers
	Plans     Plans
}

// Steps returns the contents to write one after the other, so that the wanted
// lists replace the current ones and no customer is on a missing plan at any
// step. The wanted lists must refer to each other correctly. A list that does
// not change is not written.
func Steps(current, wanted Lists) []Content {
	var steps []Content
	bridge := wanted.Plans
	if CheckReferences(current.Customers, wanted.Plans) != nil {
		bridge = withPlansOf(wanted.Plans, current)
	}
	if !Equal(current.Plans, bridge) {
		steps = append(steps, bridge)
	}
	if !Equal(current.Customers, wanted.Customers) {
		steps = append(steps, wanted.Customers)
	}
	if !Equal(bridge, wanted.Plans) {
		steps = append(steps, wanted.Plans)
	}
	return steps
}

// withPlansOf adds the current plans that wanted lacks and customers are on.
func withPlansOf(wanted Plans, current Lists) Plans {
	needed := map[Name]struct{}{}
	for _, customer := range current.Customers.Customers {
		needed[customer.Plan] = struct{}{}
	}
	for _, plan := range wanted.Plans {
		delete(needed, plan.Name)
	}
	bridge := Plans{Currency: wanted.Currency, Plans: append([]Plan{}, wanted.Plans...)}
	for _, plan := range current.Plans.Plans {
		if _, ok := needed[plan.Name]; ok {
			bridge.Plans = append(bridge.Plans, plan)
		}
	}
	return bridge
}
