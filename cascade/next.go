package cascade

import "time"

// Next records the outcome of one attempt of the run and returns the next step.
// An invalid score counts as no rating.
func (d *Decider) Next(run *Run, o Outcome, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.Rated = o.Rated && validScore(o.Score)
	d.updateEstimates(run, o, now)
	run.recordEnd(o)
	return d.reportStep(d.decide(run, o, now))
}

// Observe updates the estimates with the outcome of an attempt that does not
// affect the next step: that of a shadow run, or one that ended after Accept.
func (d *Decider) Observe(run *Run, o Outcome, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.Rated = o.Rated && validScore(o.Score)
	d.updateEstimates(run, o, now)
}

// validScore reports whether a score is a number from 0 to 1.
func validScore(score float64) bool {
	return score >= 0 && score <= 1
}

// Audit records the rating of a delivered answer that was requested because the
// Accept step had Audit set. rated is false if no rating was received.
func (d *Decider) Audit(run *Run, rated bool, score float64, ratingLatency time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rated = rated && validScore(score)
	d.observeRater(rated, ratingLatency, now)
	if !rated || run.acceptedOption == NoOption {
		return
	}
	c := d.contract(run.request.Contract)
	if run.inControlLoop {
		c.controller.applyAudit(score, run.expectedScore, run.auditRatingProbability, d.options.Gain)
	}
	if run.acceptedStrongest {
		option := run.request.Options[run.acceptedOption]
		d.class(c, run.request.Class).model(option.Model).scores.add(score, now)
	}
}

// updateEstimates updates the latency and score estimates of the option's model
// and the state of the rating service.
func (d *Decider) updateEstimates(run *Run, o Outcome, now time.Time) {
	c := d.contract(run.request.Contract)
	m := d.class(c, run.request.Class).model(run.request.Options[o.Option].Model)
	if !o.Failed && o.Latency > 0 {
		m.latency.add(o.Latency)
	}
	if o.RatingRequested || o.Rated {
		d.observeRater(o.Rated, o.RatingLatency, now)
	}
	if o.Rated && !o.Failed {
		m.scores.add(o.Score, now)
	}
}

// observeRater records whether a requested rating arrived and calls the Mode hook
// on a change of mode.
func (d *Decider) observeRater(rated bool, ratingLatency time.Duration, now time.Time) {
	if d.rater.observe(rated, ratingLatency, now) && d.options.Hooks.Mode != nil {
		d.options.Hooks.Mode(d.rater.mode)
	}
}

func (run *Run) recordEnd(o Outcome) {
	run.ended[o.Option] = true
	if !o.Failed && o.Rated && (run.bestOption == NoOption || o.Score > run.bestScore) {
		run.bestOption, run.bestScore = o.Option, o.Score
	}
}

// inFlight returns an option that has started and not ended, or NoOption.
func (run *Run) inFlight() int {
	for i := range run.started {
		if run.started[i] && !run.ended[i] {
			return i
		}
	}
	return NoOption
}

func (d *Decider) decide(run *Run, o Outcome, now time.Time) Step {
	if o.Failed {
		return d.proceed(run, ReasonFailed, now)
	}
	r := run.request
	if r.Target <= 0 {
		return d.accept(run, o.Option, o.Score, ReasonNoTarget)
	}
	c := d.contract(r.Contract)
	s := d.class(c, r.Class)
	if o.Option == r.strongest() {
		option := r.Options[o.Option]
		return d.accept(run, o.Option, s.model(option.Model).scores.mean(option.Quality), ReasonStrongest)
	}
	v := d.evaluate(r, c, s, now)
	switch {
	case o.Rated && o.Score >= v.options[o.Option].threshold:
		return d.accept(run, o.Option, o.Score, ReasonPassed)
	case o.Rated:
		return d.handleBelowThreshold(run, v, now)
	case v.options[o.Option].passesUnrated:
		bound := s.model(r.Options[o.Option].Model).scores.lowerBound()
		return d.accept(run, o.Option, bound, ReasonClassMean)
	default:
		return d.proceed(run, ReasonUnrated, now)
	}
}

// handleBelowThreshold returns the step after an answer whose score is below the
// threshold. The best answer so far is still delivered if it reaches the floor
// and no stronger one can be complete before the deadline.
func (d *Decider) handleBelowThreshold(run *Run, v valuation, now time.Time) Step {
	r := run.request
	next := run.nextOption()
	noTimeForStronger := !r.Deadline.IsZero() && run.inFlight() == NoOption && next != NoOption &&
		v.strongestWithin(next, r.Deadline.Sub(now)) == NoOption
	if noTimeForStronger && run.bestScore >= r.Floor {
		return d.accept(run, run.bestOption, run.bestScore, ReasonDeadline)
	}
	return d.proceed(run, ReasonBelow, now)
}

// proceed waits for the attempt in flight, starts the next option, or falls back
// to the best buffered answer.
func (d *Decider) proceed(run *Run, reason Reason, now time.Time) Step {
	r := run.request
	if i := run.inFlight(); i != NoOption {
		stream := NoOption
		if i == r.strongest() {
			stream = i
		}
		return Step{Kind: Wait, Reason: reason, Stream: stream, Shadow: NoOption, Answer: NoOption}
	}
	next := run.nextOption()
	if next == NoOption {
		if run.bestOption != NoOption && run.bestScore >= r.Floor {
			return d.accept(run, run.bestOption, run.bestScore, ReasonFallback)
		}
		return Step{Kind: Exhausted, Reason: reason, Stream: NoOption, Shadow: NoOption, Answer: NoOption}
	}
	step := d.chooseOption(run, next, now)
	step.Reason = reason
	return step
}

// nextOption returns the option after the strongest one that was started, or
// NoOption.
func (run *Run) nextOption() int {
	for i := run.request.strongest(); i >= 0; i-- {
		if !run.started[i] {
			continue
		}
		if i == run.request.strongest() {
			return NoOption
		}
		return i + 1
	}
	return 0
}

// accept returns the step that delivers the answer of option i and passes its
// expected score to the slack controller.
func (d *Decider) accept(run *Run, i int, expected float64, reason Reason) Step {
	r := run.request
	run.acceptedOption, run.expectedScore, run.acceptedStrongest = i, expected, i == r.strongest()
	step := Step{Kind: Accept, Reason: reason, Stream: NoOption, Shadow: NoOption, Answer: i}
	if r.Target <= 0 {
		return step
	}
	c := d.contract(r.Contract)
	if d.rater.mode != RaterUnavailable || d.options.Policy == ClassMean {
		c.controller.observeAnswer(expected, r.Target+d.options.Margin, d.options.Gain)
		c.deliveredScore.add(expected)
		run.inControlLoop = true
	}
	auditProbability := d.auditShare(reason)
	step.Audit = d.rand.Float64() < auditProbability
	run.auditRatingProbability = auditProbability * d.rater.ratedShare
	return step
}

// auditShare returns the probability of auditing an answer that was accepted for
// the reason. An answer that was rated before it was accepted deviates less from
// its expected score and is audited less often than an unrated one. If only some
// audits yield a rating, more are requested, unless the rating service is
// unavailable.
func (d *Decider) auditShare(reason Reason) float64 {
	share := d.options.AuditShare
	switch reason {
	case ReasonStrongest, ReasonClassMean:
		share *= unratedAuditFactor
	default:
		share *= ratedAuditFactor
	}
	if d.rater.mode != RaterUnavailable {
		share /= max(d.rater.ratedShare, d.options.AuditShare)
	}
	return min(maxAuditShare, share)
}

const (
	// unratedAuditFactor and ratedAuditFactor scale Options.AuditShare for
	// answers that were accepted without and with a rating.
	unratedAuditFactor = 2.5
	ratedAuditFactor   = 0.5
	// maxAuditShare limits the probability of an audit.
	maxAuditShare = 0.5
)
