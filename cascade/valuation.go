package cascade

import "time"

// valuation holds the expected costs and latencies for one request.
type valuation struct {
	options []optionValuation
	// ratingLatency is an upper estimate of the wait for a rating.
	ratingLatency time.Duration
}

type optionValuation struct {
	cost            float64       // micros
	latency         time.Duration // upper estimate
	threshold       float64       // minimum score at which an answer is accepted
	passProbability float64       // probability that the answer is accepted
	savedFraction   float64       // expected fraction of the cost of the later options that trying this one saves
	// costEffective reports that trying the option is expected to cost less than
	// skipping it.
	costEffective bool
	// passesUnrated reports that the answer is accepted without a rating.
	passesUnrated bool
}

// evaluate computes the expected costs by backward induction from the strongest
// option: the cost of continuing from option i is the lower of the cost of trying
// it and the cost of skipping it.
func (d *Decider) evaluate(r Request, c *contractState, s *classState, now time.Time) valuation {
	v := valuation{options: make([]optionValuation, len(r.Options)), ratingLatency: d.rater.latency.upperEstimate(0)}
	last := r.strongest()
	strongestMean := s.model(r.Options[last].Model).scores.mean(r.Options[last].Quality)
	continuationCost := float64(r.Options[last].Cost)
	for i := last; i >= 0; i-- {
		o, m := r.Options[i], s.model(r.Options[i].Model)
		ov := optionValuation{cost: float64(o.Cost), latency: m.latency.upperEstimate(o.Latency)}
		if i == last {
			ov.passProbability, ov.costEffective = 1, true
		} else {
			allowance := c.controller.allowance(continuationCost)
			ov.threshold = strongestMean - allowance
			d.estimateAcceptance(&ov, &m.scores, allowance, o.Quality, now)
			ov.costEffective = ov.cost < ov.savedFraction*continuationCost
			if ov.costEffective {
				continuationCost = ov.cost + (1-ov.passProbability)*continuationCost
			}
		}
		v.options[i] = ov
	}
	return v
}

// estimateAcceptance sets the probability that the answer is accepted and the
// fraction of cost that this saves. An accepted answer saves the cost of
// continuing less the price of the score given up; at the threshold that price
// equals the whole cost.
func (d *Decider) estimateAcceptance(ov *optionValuation, s *scoreDistribution, allowance, prior float64, now time.Time) {
	ratedShare := d.rater.ratedShare
	if d.rater.mode == RaterUnavailable {
		ratedShare = 0
	}
	ov.passProbability = ratedShare * s.passRate(ov.threshold, prior)
	ov.savedFraction = ratedShare * s.meanUtility(ov.threshold, allowance, prior)
	if d.options.Policy != ClassMean || !s.fresh(now, d.options.MaxEstimateAge) {
		return
	}
	bound := s.lowerBound()
	ov.passesUnrated = bound >= ov.threshold
	if ov.passesUnrated {
		ov.passProbability += 1 - ratedShare
		ov.savedFraction += (1 - ratedShare) * min(1, (bound-ov.threshold)/max(allowance, minAllowance))
	}
}

// minAllowance keeps the quotient of two small scores bounded.
const minAllowance = 0.01

// leastCost returns the option of lowest expected cost with index from or above.
func (v valuation) leastCost(from int) int {
	last := len(v.options) - 1
	for i := from; i < last; i++ {
		if v.options[i].costEffective {
			return i
		}
	}
	return last
}

// ratedLatency returns the expected time to the answer of option i, including
// the rating unless i is the strongest option.
func (v valuation) ratedLatency(i int) time.Duration {
	if i == len(v.options)-1 {
		return v.options[i].latency
	}
	return v.options[i].latency + v.ratingLatency
}

// hedgeSavesCost reports whether running option i in parallel with the strongest
// one costs less than it saves: if option i is accepted, the strongest one is
// cancelled early.
func (v valuation) hedgeSavesCost(i int) bool {
	strongest := v.options[len(v.options)-1]
	if strongest.latency <= 0 {
		return false
	}
	savedFraction := 1 - float64(v.ratedLatency(i))/float64(strongest.latency)
	return v.options[i].passProbability*max(0, savedFraction)*strongest.cost > v.options[i].cost
}

// strongestWithin returns the strongest option with index from or above whose
// rated answer is expected within the remaining time, or NoOption.
func (v valuation) strongestWithin(from int, remaining time.Duration) int {
	for i := len(v.options) - 1; i >= from; i-- {
		if v.ratedLatency(i) <= remaining {
			return i
		}
	}
	return NoOption
}
