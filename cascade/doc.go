// Package cascade decides which model of a cascade answers a request: the
// cheapest one whose rated answer suffices, a stronger one immediately, or both
// started at the same time (a hedge).
//
// # Model
//
// A cascade is a list of options, cheapest first. The rating service gives an
// answer a score from 0 to 1. A contract has a quality target, which is the mean
// score of its answers. For each (contract, request class, model) the package
// estimates the distribution of scores and the latency. For each contract it
// keeps one number, the slack: how much score may be given up to save the cost
// of one average answer of the strongest model. An answer of option i is
// accepted if
//
//	score >= E[score of the strongest model in this class] - slack * cost(i+1...) / reference cost
//
// which is the equal-slope condition of the Lagrangian of "minimal cost subject
// to a mean score". An integral controller changes the slack by the difference
// between the delivered score and the target. The score of an unrated answer is
// replaced by a model-assisted estimate: the class mean, corrected by the
// ratings of randomly audited answers, which are weighted by the inverse of
// their probability (Robins, Rotnitzky and Zhao, 1994). The accumulated error of
// an integral controller is bounded by the range of its state divided by its
// gain, so the mean delivered score converges to the target without assumptions
// about the traffic (compare Gibbs and Candès, "Adaptive Conformal Inference
// Under Distribution Shift", 2021).
//
// # Use
//
//	decider := cascade.New(cascade.Options{Rand: rand.New(rand.NewPCG(seed1, seed2))})
//	run, step := decider.Start(request, now)
//	for step.Kind == cascade.Try || step.Kind == cascade.Hedge {
//		// start the options of step.Start and buffer each answer except that of
//		// step.Stream; with step.Rate, wait for its rating up to step.RatingTimeout
//		step = decider.Next(run, outcome, now)
//	}
//	// cascade.Accept: deliver the answer of step.Answer, cancel the others;
//	// with step.Audit, have that answer rated afterwards and call decider.Audit
//	// cascade.Wait: another attempt is in flight; call Next with its outcome
//	// cascade.Exhausted: there is no answer to deliver
//
// No part of an answer may reach the caller before an Accept step selects it,
// except for the answer of Step.Stream. If Step.Shadow is not NoOption, that
// option may be run, rated and reported with Observe; its answer is never
// delivered. Omitting a shadow run or an audit is safe, but the estimates adapt
// more slowly.
//
// # Safe mode
//
// When the rating service returns no ratings, Options.Policy determines how
// unrated answers are handled. StrongestOnly never delivers an unrated answer of
// a weaker model. ClassMean delivers it if the lower confidence bound of the
// class's mean score reaches the threshold and the latest rating is not older
// than MaxEstimateAge. With StrongestOnly the slack is frozen while the service is
// unavailable.
//
// A Decider is safe for concurrent use, does no I/O and does not read the clock.
// Its memory is bounded by MaxContracts and MaxClasses.
package cascade
