package allowanceerror

// named is a policy with its name in the result.
type named struct {
	name   string
	policy policy
}

// Run measures all policies under all loads. The same seed gives the same
// figures.
func Run(seed uint64) (Result, error) {
	result := Result{Seed: seed, Nodes: nodes}
	for _, l := range loads(seed) {
		ideal := len(simulate(l, shared(l.plan())).admissions)
		ledgerPolicy := newSlicing(l.plan())
		for _, p := range policies(l, ledgerPolicy) {
			result.Runs = append(result.Runs, simulate(l, p.policy).result(l, p.name, ideal))
		}
		if ledgerPolicy.err != nil {
			return Result{}, Error.Wrap(ledgerPolicy.err)
		}
	}
	return result, nil
}

func policies(l load, ledgerPolicy policy) []named {
	return []named{
		{"slices from a keeper", ledgerPolicy},
		{"equal static share", divided(l.plan(), nodes)},
		{"each node alone", divided(l.plan(), 1)},
		{"atomic increments", newIncrements(l.plan())},
	}
}
