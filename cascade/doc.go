// Package cascade decides, for one request, which model of a cascade answers
// it: the cheapest whose rated answer suffices, a stronger one at once, or both
// at the same time.
//
// # Model
//
// A cascade is a list of options, cheapest first. The rating service gives an
// answer a score from 0 to 1. A contract owes a mean score, its target. The
// package learns, for each (contract, request class, model), the distribution
// of scores and the latency, and keeps one number for each contract, the slack:
// how much score may be given up for the cost of one average answer of the
// strongest model. An answer of option i is accepted if
//
//	score >= E[score of the strongest model in this class] - slack * cost(i+1...) / reference cost
//
// which is the equal-slope rule of the Lagrangian of "least cost subject to a
// mean score". An integral controller moves the slack by the difference between
// the delivered score and the target. Scores of answers that nobody rated are
// replaced by a model-assisted estimate: the class mean, corrected by a random
// audited share weighted by its inverse probability (Robins, Rotnitzky and Zhao,
// 1994). The sum of the errors of an integral controller is bounded by the range
// of its state over its gain, so the mean delivered score converges to the
// target without an assumption on the traffic (compare Gibbs and Candès,
// "Adaptive Conformal Inference Under Distribution Shift", 2021).
//
// # Use
//
//	decider := cascade.New(cascade.Options{Rand: rand.New(rand.NewPCG(seed1, seed2))})
//	run, step := decider.Start(request, now)
//	for step.Kind == cascade.Try || step.Kind == cascade.Hedge {
//		// start step.Start; hold each answer except that of step.Stream;
//		// with step.Rate, ask for its rating for at most step.RateWithin
//		step = decider.Next(run, outcome, now)
//	}
//	// cascade.Accept: deliver the answer of step.Answer, cancel the others;
//	// with step.Audit, have that answer rated afterwards and call decider.Audit
//	// cascade.Wait: another attempt is in flight; call Next with its outcome
//	// cascade.Exhausted: nothing is fit to deliver
//
// Nothing of an answer may reach the caller before Accept names it, but for the
// answer of Step.Stream. If Step.Shadow is not NoOption, that option may be run,
// rated and reported with Learn; its answer is never delivered. Leaving out a
// shadow or an audit is safe: it only slows down learning.
//
// # Safe mode
//
// When the rating service gives no ratings, Policy of Options says what becomes
// of unrated answers: StrongestOnly never delivers an answer of a weaker model
// unrated; ClassMean delivers it if the class's lower confidence bound,
// learnt while ratings came and not older than MaxEstimateAge, passes in place of the
// score. The slack is frozen while the rater is out.
//
// A Decider is safe for concurrent use, does no I/O, reads no clock, and bounds
// its memory by MaxContracts and MaxClasses.
package cascade
