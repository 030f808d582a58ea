package cascade

import "time"

// view holds what a decision on one request needs, for each option.
type view struct {
	options []optionView
	// ratingLatency is the expected wait for a rating.
	ratingLatency time.Duration
}

type optionView struct {
	cost      float64       // micros
	latency   time.Duration // few are above
	threshold float64       // least score that passes
	pass      float64       // probability that the answer is accepted
	saving    float64       // expected part of going on's cost that trying saves
	// worthwhile says that trying the option is expected to cost less than
	// leaving it out.
	worthwhile bool
	// unrated says that the answer passes without a rating.
	unrated bool
}

// view computes the expected costs by backward induction from the strongest
// option: going on from option i costs the least of trying it and leaving it out.
func (d *Decider) view(r Request, c *contractState, s *classState, now time.Time) view {
	v := view{options: make([]optionView, len(r.Options)), ratingLatency: d.rater.latency.high(0)}
	last := r.last()
	best := s.model(r.Options[last].Model).scores.mean(r.Options[last].Quality)
	goOn := float64(r.Options[last].Cost)
	for i := last; i >= 0; i-- {
		o, m := r.Options[i], s.model(r.Options[i].Model)
		ov := optionView{cost: float64(o.Cost), latency: m.latency.high(o.Latency)}
		if i == last {
			ov.pass, ov.worthwhile = 1, true
		} else {
			allowance := c.control.allowance(goOn)
			ov.threshold = best - allowance
			d.estimate(&ov, &m.scores, allowance, o.Quality, now)
			ov.worthwhile = ov.cost < ov.saving*goOn
			if ov.worthwhile {
				goOn = ov.cost + (1-ov.pass)*goOn
			}
		}
		v.options[i] = ov
	}
	return v
}

// estimate sets how often the answer is accepted and what that saves. An
// accepted answer saves the cost of going on less the price of the score given
// up, which at the threshold is all of it.
func (d *Decider) estimate(ov *optionView, s *scores, allowance, prior float64, now time.Time) {
	rated := d.rater.share
	if d.rater.mode == RaterOut {
		rated = 0
	}
	ov.pass = rated * s.passRate(ov.threshold, prior)
	ov.saving = rated * s.gain(ov.threshold, allowance, prior)
	if d.options.Policy != ClassMean || !s.trusted(now, d.options.MaxEstimateAge) {
		return
	}
	bound := s.lowerBound()
	ov.unrated = bound >= ov.threshold
	if ov.unrated {
		ov.pass += 1 - rated
		ov.saving += (1 - rated) * min(1, (bound-ov.threshold)/max(allowance, minAllowance))
	}
}

// minAllowance keeps the quotient of two small numbers bounded.
const minAllowance = 0.01

// first returns the option of least expected cost from index from on.
func (v view) first(from int) int {
	last := len(v.options) - 1
	for i := from; i < last; i++ {
		if v.options[i].worthwhile {
			return i
		}
	}
	return last
}

// through returns the expected time to a rated answer of option i.
func (v view) through(i int) time.Duration {
	if i == len(v.options)-1 {
		return v.options[i].latency
	}
	return v.options[i].latency + v.ratingLatency
}

// hedgePays tells whether starting option i beside the strongest one saves more
// of the strongest one's cost, by cancelling it early, than option i costs.
func (v view) hedgePays(i int) bool {
	strongest := v.options[len(v.options)-1]
	if strongest.latency <= 0 {
		return false
	}
	saved := 1 - float64(v.through(i))/float64(strongest.latency)
	return v.options[i].pass*max(0, saved)*strongest.cost > v.options[i].cost
}

// within returns the strongest option from index from on that is through
// within the time, or NoOption.
func (v view) within(from int, remaining time.Duration) int {
	for i := len(v.options) - 1; i >= from; i-- {
		if v.through(i) <= remaining {
			return i
		}
	}
	return NoOption
}
