package cascade

import "time"

// ConfidencePolicy is a cascade policy that uses the confidence which models report
// for their own answers. The confidence arrives with the head of an answer,
// before any of it is delivered, so no rating service is needed. The cheapest
// model is tried first. If its confidence is too low, the next larger model is
// tried if the confidence is at least NextModelConfidence, and the strongest one otherwise:
// stepping through all models costs more than it saves.
//
// The longer a stronger answer is expected to take, the lower the confidence
// that is accepted. A late answer is less useful than an acceptable one in time,
// and under overload each answer of the strongest model delays other requests.
// A stronger answer that is not expected to end before the deadline is not tried.
type ConfidencePolicy struct {
	// MinConfidence is the minimum confidence of a delivered answer while engines are
	// idle, 0 to 100. MinConfidenceLate is the minimum when a stronger answer would be
	// late.
	MinConfidence, MinConfidenceLate int
	// NextModelConfidence is the confidence from which the next larger model is likely to
	// suffice, 0 to 100. Below it the strongest model is tried.
	NextModelConfidence int
	// IdleWait and BusyWait are expected engine waits as fractions of the target
	// latency, 0 to 1. Up to IdleWait the minimum confidence is MinConfidence, from BusyWait on
	// it is MinConfidenceLate, and in between it is interpolated linearly.
	IdleWait, BusyWait float64
	// LatestStart is the latest expected start of an answer that counts as in time,
	// as a fraction of the target latency, 0 to 1.
	LatestStart float64
	// StepTime is the minimum time to the deadline for trying another model.
	StepTime time.Duration
	// LatestEnd is the latest expected end of a stronger answer for which a weak one is
	// dropped, as a fraction of the time left, 0 to 1. The rest is the margin for wrong
	// estimates: an answer that is cut at the deadline is worth nothing.
	LatestEnd float64
}

// Ends are the expected ends of stronger answers, as fractions of the time left; zero if
// unknown. An unknown end counts as in time.
type Ends struct {
	// Strongest is that of the strongest model, and Next that of the model which is tried in
	// its place if it would be late: the next one after the model that answered, or the one
	// before the strongest if none has.
	Strongest, Next float64
}

// FirstInput describes a request before any model is tried.
type FirstInput struct {
	// Models is the number of models.
	Models int
	// RunsLeft is the number of runs that the request may use.
	RunsLeft int
	// SecondRunAllowed reports whether the retry budget allows a second run.
	SecondRunAllowed bool
	// DirectStart is the expected start of the strongest model's answer if that model
	// is tried first, SteppedStart if the smallest model is tried before it. Both are
	// fractions of the target latency.
	DirectStart, SteppedStart float64
	// Ends are the expected ends of the answers of stronger models.
	Ends Ends
}

// Answer describes a model's answer before any of it is delivered.
type Answer struct {
	// Model is the index of the model that answered and Models the number of
	// models, which are ordered smallest first.
	Model, Models int
	// Confidence is the confidence that the model reported, 0 to 100; negative
	// if it reported none.
	Confidence int
	// RunsLeft is the number of further runs that the request may use.
	RunsLeft int
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Wait is the expected time until an engine can start a stronger answer, as
	// a fraction of the target latency.
	Wait float64
	// ExpectedStart is the expected start of a stronger answer, as a fraction of the
	// target latency.
	ExpectedStart float64
	// Ends are the expected ends of stronger answers.
	Ends Ends
}

// First returns the index of the model to try first; models are ordered smallest
// first. It is the strongest model, the only one that is sure to suffice, if no
// second model can be tried: because no second run or no retry budget is left, or
// because the strongest model's answer is in time only if that model is tried
// first. Otherwise it is the smallest, also if the strongest model's answer is
// late in any case. In place of a strongest model whose answer would not end in time it is
// the model before it, or the smallest if that one's would not either.
func (c ConfidencePolicy) First(s FirstInput) int {
	if s.RunsLeft <= 1 || !s.SecondRunAllowed || s.DirectStart <= c.LatestStart && s.SteppedStart > c.LatestStart {
		switch {
		case !c.endsLate(s.Ends.Strongest):
			return s.Models - 1
		case !c.endsLate(s.Ends.Next):
			return max(s.Models-2, 0)
		}
	}
	return 0
}

// endsLate reports whether an answer with the expected end is not in time.
func (c ConfidencePolicy) endsLate(end float64) bool { return c.LatestEnd > 0 && end > c.LatestEnd }

// Next returns the index of the model to try instead of delivering the answer,
// and true if the answer is to be dropped. Otherwise it returns the index of the
// model that answered, and false.
func (c ConfidencePolicy) Next(a Answer) (int, bool) {
	strongest := a.Models - 1
	if a.Model >= strongest || a.Confidence < 0 || a.RunsLeft < 1 || a.TimeLeft < c.StepTime {
		return a.Model, false
	}
	if a.Confidence >= c.acceptanceThreshold(a) {
		return a.Model, false
	}
	next := strongest
	if a.Confidence >= c.NextModelConfidence && a.RunsLeft > 1 || c.endsLate(a.Ends.Strongest) {
		next = a.Model + 1
	}
	if next == strongest && c.endsLate(a.Ends.Strongest) || next < strongest && c.endsLate(a.Ends.Next) {
		return a.Model, false
	}
	return next, true
}

// acceptanceThreshold returns the minimum confidence at which the answer is
// delivered.
func (c ConfidencePolicy) acceptanceThreshold(a Answer) int {
	if a.ExpectedStart > c.LatestStart {
		return c.MinConfidenceLate
	}
	load := (a.Wait - c.IdleWait) / (c.BusyWait - c.IdleWait)
	return c.MinConfidence - int(min(max(load, 0), 1)*float64(c.MinConfidence-c.MinConfidenceLate))
}
