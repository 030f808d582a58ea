package experiment

// Compare measures each policy in each scenario and returns the results in this order.
func Compare[Scenario, Policy, Result any](scenarios []Scenario, policies []Policy, measure func(Scenario, Policy) Result) []Result {
	var results []Result
	for _, s := range scenarios {
		for _, p := range policies {
			results = append(results, measure(s, p))
		}
	}
	return results
}
