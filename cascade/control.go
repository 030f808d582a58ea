package cascade

const (
	// minSlack leaves room for noise in ratings. At no slack an answer must
	// reach the strongest model's mean, and to ask for more can't raise the mean.
	minSlack = -0.05
	maxSlack = 1.0
	// maxAuditWeight bounds the inverse probability of an audit.
	maxAuditWeight = 20
	// firstBoost is the factor of the first answer's gain; it falls to 1 over
	// boostedAnswers.
	firstBoost     = 10
	boostedAnswers = 2_000
	// costGain is the weight of a new cost in the reference cost.
	costGain = 1.0 / 256
)

// control is the integral controller of one contract.
type control struct {
	slack     float64
	delivered int
	reference float64 // mean cost of the strongest option, in micros
}

// deliver takes in the estimated score of a delivered answer.
func (c *control) deliver(score, target, gain float64) {
	c.delivered++
	c.move(gain * c.boost() * (score - target))
}

// boost returns the factor by which the gain is higher for the first answers.
func (c *control) boost() float64 {
	left := 1 - float64(c.delivered)/boostedAnswers
	return 1 + max(0, left)*(firstBoost-1)
}

// correct takes in the audit of an answer whose estimate was expected.
func (c *control) correct(audited, expected, probability, gain float64) {
	weight := min(maxAuditWeight, 1/max(probability, 1.0/maxAuditWeight))
	c.move(gain * c.boost() * weight * (audited - expected))
}

func (c *control) move(by float64) {
	c.slack = max(minSlack, min(maxSlack, c.slack+by))
}

// price takes in the cost of the strongest option for one request.
func (c *control) price(cost float64) {
	if c.reference == 0 {
		c.reference = cost
		return
	}
	c.reference += (cost - c.reference) * costGain
}

// allowance returns the score that may be given up to save cost micros.
func (c *control) allowance(cost float64) float64 {
	if c.reference <= 0 {
		return 0
	}
	return c.slack * cost / c.reference
}
