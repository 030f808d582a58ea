package cascade

import "time"

// Next takes in the end of one attempt of the run and returns the next step.
func (d *Decider) Next(run *Run, o Outcome, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.Rated = o.Rated && valid(o.Score)
	d.learn(run, o, now)
	run.end(o)
	return d.counted(d.decide(run, o, now))
}

// Learn takes in the end of an attempt whose answer is not delivered: a
// shadow's, or one that ended after Accept.
func (d *Decider) Learn(run *Run, o Outcome, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.Rated = o.Rated && valid(o.Score)
	d.learn(run, o, now)
}

// valid tells whether a score is within 0 and 1, and a number.
func valid(score float64) bool {
	return score >= 0 && score <= 1
}

// Audit takes in the rating of a delivered answer, asked for because Accept had
// Audit set. A rating that did not come has rated false.
func (d *Decider) Audit(run *Run, rated bool, score float64, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rated = rated && valid(score)
	d.observeRater(rated, took, now)
	if !rated || run.answer == NoOption {
		return
	}
	c := d.contract(run.request.Contract)
	if run.counted {
		c.control.correct(score, run.expected, run.share, d.options.Gain)
	}
	if run.strong {
		option := run.request.Options[run.answer]
		d.class(c, run.request.Class).model(option.Model).scores.add(score, now)
	}
}

func (d *Decider) learn(run *Run, o Outcome, now time.Time) {
	c := d.contract(run.request.Contract)
	m := d.class(c, run.request.Class).model(run.request.Options[o.Option].Model)
	if !o.Failed && o.Latency > 0 {
		m.latency.add(o.Latency)
	}
	if o.Asked || o.Rated {
		d.observeRater(o.Rated, o.RatingLatency, now)
	}
	if o.Rated && !o.Failed {
		m.scores.add(o.Score, now)
	}
}

func (d *Decider) observeRater(rated bool, took time.Duration, now time.Time) {
	if d.rater.observe(rated, took, now) && d.options.Hooks.Mode != nil {
		d.options.Hooks.Mode(d.rater.mode)
	}
}

func (run *Run) end(o Outcome) {
	run.ended[o.Option] = true
	if !o.Failed && o.Rated && (run.best == NoOption || o.Score > run.score) {
		run.best, run.score = o.Option, o.Score
	}
}

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
		return d.goOn(run, ReasonFailed, now)
	}
	r := run.request
	if r.Target <= 0 {
		return d.accept(run, o.Option, o.Score, ReasonNoTarget)
	}
	c := d.contract(r.Contract)
	s := d.class(c, r.Class)
	if o.Option == r.last() {
		option := r.Options[o.Option]
		return d.accept(run, o.Option, s.model(option.Model).scores.mean(option.Quality), ReasonStrongest)
	}
	v := d.view(r, c, s, now)
	switch {
	case o.Rated && o.Score >= v.options[o.Option].threshold:
		return d.accept(run, o.Option, o.Score, ReasonPassed)
	case o.Rated:
		return d.below(run, v, now)
	case v.options[o.Option].unrated:
		bound := s.model(r.Options[o.Option].Model).scores.lowerBound()
		return d.accept(run, o.Option, bound, ReasonClassMean)
	default:
		return d.goOn(run, ReasonUnrated, now)
	}
}

// below handles an answer whose score does not pass: it is still delivered if
// nothing stronger can come in time and it reaches the floor.
func (d *Decider) below(run *Run, v view, now time.Time) Step {
	r := run.request
	next := run.untried()
	late := !r.Deadline.IsZero() && run.inFlight() == NoOption && next != NoOption &&
		v.within(next, r.Deadline.Sub(now)) == NoOption
	if late && run.score >= r.Floor {
		return d.accept(run, run.best, run.score, ReasonDeadline)
	}
	return d.goOn(run, ReasonBelow, now)
}

// goOn waits for the attempt in flight, starts the next option, or falls back
// to the best answer held.
func (d *Decider) goOn(run *Run, reason Reason, now time.Time) Step {
	r := run.request
	if i := run.inFlight(); i != NoOption {
		stream := NoOption
		if i == r.last() {
			stream = i
		}
		return Step{Kind: Wait, Reason: reason, Stream: stream, Shadow: NoOption, Answer: NoOption}
	}
	next := run.untried()
	if next == NoOption {
		if run.best != NoOption && run.score >= r.Floor {
			return d.accept(run, run.best, run.score, ReasonFallback)
		}
		return Step{Kind: Exhausted, Reason: reason, Stream: NoOption, Shadow: NoOption, Answer: NoOption}
	}
	step := d.choose(run, next, now)
	step.Reason = reason
	return step
}

// untried returns the first option above all those started, or NoOption.
func (run *Run) untried() int {
	for i := run.request.last(); i >= 0; i-- {
		if !run.started[i] {
			continue
		}
		if i == run.request.last() {
			return NoOption
		}
		return i + 1
	}
	return 0
}

// accept names the answer and takes its expected score into the control loop.
func (d *Decider) accept(run *Run, i int, expected float64, reason Reason) Step {
	r := run.request
	run.answer, run.expected, run.strong = i, expected, i == r.last()
	step := Step{Kind: Accept, Reason: reason, Stream: NoOption, Shadow: NoOption, Answer: i}
	if r.Target <= 0 {
		return step
	}
	c := d.contract(r.Contract)
	if d.rater.mode != RaterOut || d.options.Policy == ClassMean {
		c.control.deliver(expected, r.Target+d.options.Margin, d.options.Gain)
		c.delivered.add(expected)
		run.counted = true
	}
	asked := d.auditShare(reason)
	step.Audit = d.rand.Float64() < asked
	run.share = asked * d.rater.share
	return step
}

// auditShare returns the part of answers accepted for the reason that are
// audited. An answer that was rated before it was accepted differs less from
// what is expected of it, and is audited less often than one that was not. Where
// few audits yield a rating more are asked for, unless none do.
func (d *Decider) auditShare(reason Reason) float64 {
	share := d.options.AuditShare
	switch reason {
	case ReasonStrongest, ReasonClassMean:
		share *= unratedAuditFactor
	default:
		share *= ratedAuditFactor
	}
	if d.rater.mode != RaterOut {
		share /= max(d.rater.share, d.options.AuditShare)
	}
	return min(maxAuditShare, share)
}

const (
	unratedAuditFactor = 2.5
	ratedAuditFactor   = 0.5
	// maxAuditShare bounds the part of answers that are audited.
	maxAuditShare = 0.5
)
