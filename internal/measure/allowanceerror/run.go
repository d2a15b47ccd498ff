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
		ledgerPolicy := newSlicePolicy(l.plan())
		for _, p := range policies(l, ledgerPolicy) {
			result.Runs = append(result.Runs, simulate(l, p.policy).result(l, p.name, ideal))
		}
		if ledgerPolicy.err != nil {
			return Result{}, Error.Wrap(ledgerPolicy.err)
		}
	}
	return result, nil
}

// policies returns the ledger's policy and the baselines. Their names are part of
// recorded results: "slices from a keeper" are slices granted by a shard owner.
func policies(l load, ledgerPolicy policy) []namedPolicy {
	return []namedPolicy{
		{"slices from a keeper", ledgerPolicy},
		{"equal static share", dividedLimiters(l.plan(), nodes)},
		{"each node alone", dividedLimiters(l.plan(), 1)},
		{"atomic increments", newIncrementPolicy(l.plan())},
	}
}
