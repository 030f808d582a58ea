package cascade

import "time"

// Confidence decides a cascade by the models' own opinion of their answers,
// which comes with the head of an answer, before any of it is delivered. It
// needs no rater. The cheapest model is asked first; then the next one where the
// answer is doubted little, and else the strongest, as steps through all models
// cost more than they save.
//
// The less time a stronger answer would leave, the weaker an answer it takes to
// ask for one: a late answer is worth less than a fair one in time, and under
// overload each strong one makes others late.
type Confidence struct {
	// Least is the confidence from which an answer is delivered while engines
	// are idle, 0 to 100; LeastLate the same when a stronger one would be late.
	Least, LeastLate int
	// Fair is the confidence from which the next larger model is likely to
	// suffice, 0 to 100; below it the strongest is asked.
	Fair int
	// Idle and Busy are parts of the target, 0 to 1: a wait below Idle speaks for
	// idle engines, and one above Busy for a late answer.
	Idle, Busy float64
	// InTime is the part of the target, 0 to 1, within which an answer is to be
	// expected to begin for it to count as in time.
	InTime float64
	// StepTime is the least time left at which another model is asked.
	StepTime time.Duration
}

// Start is what is known before any model is asked.
type Start struct {
	// Models is the number of models.
	Models int
	// RunsLeft is the number of runs that the request may have.
	RunsLeft int
	// Affordable tells that a second run may be paid for.
	Affordable bool
	// Direct is when an answer of the strongest model is expected to begin if it
	// is asked at once, Stepped if the smallest is asked before. Both are parts
	// of the target.
	Direct, Stepped float64
}

// Answer is a weak model's answer before any of it is delivered.
type Answer struct {
	// Model is an index into models that stand smallest first.
	Model, Models int
	// Confidence is the model's opinion, 0 to 100; negative if it has none.
	Confidence int
	// RunsLeft is the number of further runs that the request may have.
	RunsLeft int
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Wait is how long an engine is expected to be busy before it begins a
	// stronger answer, as a part of the target.
	Wait float64
	// Begins is when a stronger answer is expected to begin, as a part of the
	// target.
	Begins float64
}

// First returns the model to ask first, as an index into models that stand
// smallest first. Where no second one can be asked, as no run is left, none is
// affordable or it would begin late, only the strongest is sure to suffice.
func (c Confidence) First(s Start) int {
	if s.RunsLeft <= 1 || !s.Affordable || s.Direct <= c.InTime && s.Stepped > c.InTime {
		return s.Models - 1
	}
	return 0
}

// Next returns the model to ask in place of an answer, and whether that answer
// is to be dropped.
func (c Confidence) Next(a Answer) (int, bool) {
	strongest := a.Models - 1
	if a.Model >= strongest || a.Confidence < 0 || a.RunsLeft < 1 || a.TimeLeft < c.StepTime {
		return a.Model, false
	}
	if a.Confidence >= c.least(a) {
		return a.Model, false
	}
	if a.Confidence >= c.Fair && a.RunsLeft > 1 {
		return a.Model + 1, true
	}
	return strongest, true
}

// least returns the confidence from which an answer is delivered.
func (c Confidence) least(a Answer) int {
	if a.Begins > c.InTime {
		return c.LeastLate
	}
	part := (a.Wait - c.Idle) / (c.Busy - c.Idle)
	return c.Least - int(min(max(part, 0), 1)*float64(c.Least-c.LeastLate))
}
