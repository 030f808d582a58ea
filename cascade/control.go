package cascade

const (
	// minSlack leaves room for noise in ratings. At a slack of 0 an answer must
	// reach the strongest model's mean score, and a stricter threshold cannot
	// raise the mean any further.
	minSlack = -0.05
	// maxSlack is the whole range of scores.
	maxSlack = 1.0
	// maxAuditWeight limits the inverse-probability weight of an audit.
	maxAuditWeight = 20
	// initialGainFactor multiplies the gain for the first answer of a contract.
	// The factor falls linearly to 1 over boostedGainAnswers answers.
	initialGainFactor  = 10
	boostedGainAnswers = 2_000
	// costSmoothing is the weight of a new cost in the moving average of the
	// reference cost.
	costSmoothing = 1.0 / 256
)

// slackController is the integral controller of one contract's slack.
type slackController struct {
	slack         float64
	answerCount   int
	referenceCost float64 // mean cost of the strongest option, in micros
}

// observeAnswer adjusts the slack by the difference between the estimated score
// of a delivered answer and the target.
func (c *slackController) observeAnswer(score, target, gain float64) {
	c.answerCount++
	c.adjust(gain * c.gainFactor() * (score - target))
}

// gainFactor returns the multiplier of the gain, which is above 1 for the first
// answers of the contract.
func (c *slackController) gainFactor() float64 {
	remaining := 1 - float64(c.answerCount)/boostedGainAnswers
	return 1 + max(0, remaining)*(initialGainFactor-1)
}

// applyAudit corrects the slack by the difference between the audited score of
// an answer and the score expected when it was accepted. probability is the
// chance that the audit yields a rating; its inverse weights the correction.
func (c *slackController) applyAudit(audited, expected, probability, gain float64) {
	weight := min(maxAuditWeight, 1/max(probability, 1.0/maxAuditWeight))
	c.adjust(gain * c.gainFactor() * weight * (audited - expected))
}

// adjust adds delta to the slack within minSlack and maxSlack.
func (c *slackController) adjust(delta float64) {
	c.slack = max(minSlack, min(maxSlack, c.slack+delta))
}

// observeCost updates the reference cost with the cost of the strongest option
// for one request, in micros.
func (c *slackController) observeCost(cost float64) {
	if c.referenceCost == 0 {
		c.referenceCost = cost
		return
	}
	c.referenceCost += (cost - c.referenceCost) * costSmoothing
}

// allowance returns the score that may be given up to save the cost, in micros.
func (c *slackController) allowance(cost float64) float64 {
	if c.referenceCost <= 0 {
		return 0
	}
	return c.slack * cost / c.referenceCost
}
