package cascade

import "time"

// Confidence decides a cascade by the models' own opinion of their answers,
// which comes with the head of an answer, before any of it is delivered. It
// needs no rater. The cheapest model is asked first and the strongest next,
// as the steps between cost more than they save.
type Confidence struct {
	// Least is the confidence from which an answer is delivered, 0 to 100.
	Least int
	// StepTime is the least time left at which another model is asked.
	StepTime time.Duration
}

// First returns the model to ask first, as an index into models that stand
// smallest first. Where no second one can be asked, as no run is left or none
// is affordable, only the strongest is sure to suffice.
func (c Confidence) First(models, runsLeft int, affordable bool) int {
	if runsLeft <= 1 || !affordable {
		return models - 1
	}
	return 0
}

// Next returns the model to ask in place of the answer of model i, and whether
// that answer is to be dropped.
func (c Confidence) Next(i, models, confidence, runsLeft int, timeLeft time.Duration) (int, bool) {
	strongest := models - 1
	if i >= strongest || confidence < 0 || confidence >= c.Least || runsLeft < 1 || timeLeft < c.StepTime {
		return i, false
	}
	return strongest, true
}
