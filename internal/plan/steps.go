package plan

// Lists holds the two lists that must be consistent: customers refer to plans.
type Lists struct {
	Customers Customers
	Plans     Plans
}

// Steps returns the contents to write in sequence, at most three, to replace the
// current lists by the wanted ones, such that no customer refers to a missing plan
// after any step. The wanted customers may only refer to wanted plans. An
// unchanged list is not written.
func Steps(current, wanted Lists) []Content {
	var steps []Content
	interim := wanted.Plans
	if CheckReferences(current.Customers, wanted.Plans) != nil {
		interim = withPlansInUse(wanted.Plans, current)
	}
	if !Equal(current.Plans, interim) {
		steps = append(steps, interim)
	}
	if !Equal(current.Customers, wanted.Customers) {
		steps = append(steps, wanted.Customers)
	}
	if !Equal(interim, wanted.Plans) {
		steps = append(steps, wanted.Plans)
	}
	return steps
}

// withPlansInUse returns the wanted plans plus those current plans that are not
// wanted but still have current customers.
func withPlansInUse(wanted Plans, current Lists) Plans {
	needed := map[Name]struct{}{}
	for _, customer := range current.Customers.Customers {
		needed[customer.Plan] = struct{}{}
	}
	for _, plan := range wanted.Plans {
		delete(needed, plan.Name)
	}
	interim := Plans{Currency: wanted.Currency, Plans: append([]Plan{}, wanted.Plans...)}
	for _, plan := range current.Plans.Plans {
		if _, ok := needed[plan.Name]; ok {
			interim.Plans = append(interim.Plans, plan)
		}
	}
	return interim
}
