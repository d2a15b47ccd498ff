package allowanceerror

// namedPolicy is a policy and its name in the result.
type namedPolicy struct {
	name   string
	policy policy
}

// Run simulates all policies under all loads. It is deterministic: the same seed
// gives the same figures. It returns an error if an exchange with the shard owner
// fails.
func Run(seed uint64) (Result, error) {
	result := Result{Seed: seed, Nodes: nodes}
	for _, l := range loads(seed) {
		ideal := len(simulate(l, sharedLimiter(l.plan())).admissions)
		underTest := newSlicePolicy(l.plan())
		for _, p := range policies(l, underTest) {
			result.Runs = append(result.Runs, simulate(l, p.policy).result(l, p.name, ideal))
		}
		if underTest.err != nil {
			return Result{}, Error.Wrap(underTest.err)
		}
	}
	return result, nil
}

// policies returns the policy under test and the baselines. Their names are part of
// recorded results: "slices from a keeper" are slices granted by a shard owner.
func policies(l load, underTest policy) []namedPolicy {
	return []namedPolicy{
		{"slices from a keeper", underTest},
		{"equal static share", dividedLimiters(l.plan(), nodes)},
		{"each node alone", dividedLimiters(l.plan(), 1)},
		{"atomic increments", newIncrementPolicy(l.plan())},
	}
}
