package shifts

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

const (
	// judgedGaps is the number of gaps between events by which the speed of a stream is
	// judged. Streams of all versions are judged then and not at their end: a slow stream
	// takes long to end, and would be counted late.
	judgedGaps = 8
	// minGaps is the least number of gaps by which a stream that ended is judged.
	minGaps = 3
)

// Running is an attempt in progress. It is counted once: when its speed is judged, or at
// its end. Its methods may be called by one goroutine at a time; the manager reads the
// first four fields meanwhile, so that these are changed with its mu held.
type Running struct {
	manager   *Manager
	attempt   Attempt
	startedAt time.Time
	// network is the part of the time to the first event that the distance takes.
	network time.Duration
	// firstAfter is the time from the start to the first event, lastAfter to the newest
	// one; zero before the first.
	firstAfter, lastAfter time.Duration
	// gaps holds the first gaps between events.
	gaps     [judgedGaps]time.Duration
	gapCount int
	// judged reports whether the speed of the attempt has been judged.
	judged bool
	// counted is where the attempt was counted, in the shift of order, and recorded as
	// what; nil while it was not counted.
	counted  *shift.Observations
	order    shift.Order
	recorded shift.Observations
	// ofRoute selects the counts of the attempt's route among which it is.
	ofRoute func(*shift.Comparison) *rollout.Counts
}

// Begin registers an attempt in progress. Running.End must be called on the result.
func (m *Manager) Begin(a Attempt) *Running {
	r := &Running{manager: m, attempt: a, startedAt: m.opts.Clock.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(a.Service)
	if s.known && !s.state.Ended() {
		s.unjudged[r] = struct{}{}
	}
	return r
}

// SetNetworkLatency sets the part of the time to the first event that the distance to the
// upstream takes.
func (r *Running) SetNetworkLatency(d time.Duration) {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	r.network = d
}

// SetLoad sets the number of requests at the upstream, this one included.
func (r *Running) SetLoad(requests int) {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	r.attempt.Load = requests
}

// RecordFirst records the first event or, if the answer has no events, the answer. Calls
// after the first one have no effect.
func (r *Running) RecordFirst() {
	if r.firstAfter > 0 {
		return
	}
	m := r.manager
	firstAfter := m.opts.Clock.Since(r.startedAt)
	m.mu.Lock()
	defer m.mu.Unlock()
	r.firstAfter = firstAfter
}

// RecordEvent records an event of a stream.
func (r *Running) RecordEvent() {
	m := r.manager
	at := m.opts.Clock.Since(r.startedAt)
	if r.firstAfter == 0 {
		r.RecordFirst()
	} else if r.gapCount < judgedGaps {
		r.gaps[r.gapCount] = at - r.lastAfter
		r.gapCount++
	} else {
		return
	}
	r.lastAfter = at
	if r.gapCount < judgedGaps {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(r.attempt.Service)
	r.finish(s, r.outcome())
}

// TypicalGap returns the median of the first gaps between events, which the pauses for
// prompts of other requests don't affect; zero while there are too few.
func (r *Running) TypicalGap() time.Duration {
	if r.gapCount < minGaps {
		return 0
	}
	sorted := r.gaps
	known := sorted[:r.gapCount]
	slices.Sort(known)
	return known[len(known)/2]
}

// IsSlow reports whether the attempt was counted as slow.
func (r *Running) IsSlow() bool { return r.recorded.Paced.Slow > 0 }

// MaxSilence returns the time without events after which the caller should call
// RecordSilence. Zero means that it need not do so: the attempt was counted as slow, no
// shift is in progress, or the usual time between events is not known.
func (r *Running) MaxSilence() time.Duration {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(r.attempt.Service)
	gap := &s.latencyModel(r.attempt.Kind).eventGap
	if r.firstAfter == 0 || r.IsSlow() || !s.known || s.state.Ended() || !gap.known() {
		return 0
	}
	usual := gap.at(loadLevel(r.attempt.Load))
	return max(time.Duration(silenceFactor*usual*float64(time.Second)), minSlowSilence)
}

// RecordSilence counts the attempt as slow because no event came for MaxSilence. Its end
// may be much later.
func (r *Running) RecordSilence() {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	r.countSlow(m.getOrCreate(r.attempt.Service))
}

// Result is how an attempt ended.
type Result int

// Results. Inconclusive attempts say nothing about their version.
const (
	Succeeded Result = iota
	Failed
	// Overdue means that the upstream answers, but not this attempt: the time so far
	// counts as the time to its first event.
	Overdue
	// Broken means that the connection broke, which is the upstream's fault and not its
	// version's.
	Broken
	Inconclusive
)

// End records the end of the attempt.
func (r *Running) End(result Result) {
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(r.attempt.Service)
	delete(s.unjudged, r)
	switch result {
	case Broken:
		r.retract(s)
		return
	case Inconclusive:
		return
	case Overdue:
		r.firstAfter = m.opts.Clock.Since(r.startedAt)
	}
	o := r.outcome()
	o.Failed = result == Failed
	r.finish(s, o)
}

func (r *Running) outcome() Outcome {
	return Outcome{Attempt: r.attempt, FirstEventLatency: r.firstAfter, NetworkLatency: r.network, TypicalGap: r.TypicalGap()}
}

// The caller of the following methods holds the manager's mu.

// finish learns from the outcome and counts the attempt, unless it was judged before.
func (r *Running) finish(s *serviceState, o Outcome) {
	if r.judged {
		return
	}
	r.judged = true
	delete(s.unjudged, r)
	observed := s.judge(o)
	s.learn(o)
	if r.counted == nil {
		r.count(s, observed)
	}
}

// count counts the attempt.
func (r *Running) count(s *serviceState, observed shift.Observations) {
	if !s.known || s.state.Ended() {
		return
	}
	r.counted, r.ofRoute = s.counts(r.attempt.Version)
	r.order, r.recorded = s.state.Order, observed
	*r.counted = r.counted.Add(observed)
	s.local.countRoute(r.attempt.Route, r.ofRoute, func(c rollout.Counts) rollout.Counts { return c.Add(observed.Answers) })
}

// countSlow counts the attempt as slow, also if it was counted before as fast.
func (r *Running) countSlow(s *serviceState) {
	switch {
	case r.IsSlow():
	case r.counted == nil:
		r.count(s, shift.Observations{Answers: rollout.Counts{Requests: 1}, Paced: rollout.Counts{Requests: 1, Slow: 1}})
	case r.isCurrent(s):
		slow := shift.Observations{Paced: rollout.Counts{Requests: 1 - r.recorded.Paced.Requests, Slow: 1}}
		r.recorded = r.recorded.Add(slow)
		*r.counted = r.counted.Add(slow)
	}
}

// retract undoes the count.
func (r *Running) retract(s *serviceState) {
	if r.counted != nil && r.isCurrent(s) {
		*r.counted = r.counted.Sub(r.recorded)
		s.local.countRoute(r.attempt.Route, r.ofRoute, func(c rollout.Counts) rollout.Counts { return c.Sub(r.recorded.Answers) })
	}
}

// isCurrent reports whether the shift in which the attempt was counted is in progress.
func (r *Running) isCurrent(s *serviceState) bool {
	return r.order == s.state.Order && !s.state.Ended()
}

// isOverdue reports whether the first event takes longer than is usual for slow answers, or the events by which the speed is
// judged.
func (r *Running) isOverdue(s *serviceState, now time.Time) bool {
	usual := s.latencyModel(r.attempt.Kind)
	if r.firstAfter == 0 {
		o := Outcome{Attempt: r.attempt, FirstEventLatency: now.Sub(r.startedAt), NetworkLatency: r.network}
		start, _ := o.speeds(usual)
		return start == slow
	}
	sinceFirst := now.Sub(r.startedAt) - r.firstAfter
	return usual.eventGap.judge(sinceFirst.Seconds()/judgedGaps, r.attempt.Load) == slow
}
