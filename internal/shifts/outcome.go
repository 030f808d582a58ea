package shifts

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// Attempt names an attempt on a version.
type Attempt struct {
	Service string
	Version model.VersionID
	// Kind groups attempts that take about the same time for their size.
	Kind string
	// PromptTokens is the length of the prompt.
	PromptTokens int
}

// Outcome is the end of one attempt.
type Outcome struct {
	Attempt
	// Failed tells that the upstream is to blame.
	Failed bool
	// Whole tells that the answer came whole.
	Whole bool
	// First is the time to the first event or, without events, to the answer;
	// zero is unknown.
	First time.Duration
	// Gap is the mean time between events; zero is unknown.
	Gap time.Duration
	// Counted tells that Slow has counted the attempt before.
	Counted bool
}

const (
	// slowFactor is how many times the usual time an answer takes to count as slow.
	slowFactor = 3.5
	// paceSamples is the least number of answers of the replaced version by
	// which others are judged.
	paceSamples = 6
	// silenceFactor is how many slow gaps a single silence takes to count.
	silenceFactor = 2
	// paceSmoothing is the weight of the newest answer.
	paceSmoothing = 0.05
	// headTime and perToken are the usual time to a first event.
	headTime = 80 * time.Millisecond
	perToken = 11 * time.Microsecond
)

// pace learns how long answers of one kind take: to the first event in parts of
// the usual time, and between events in seconds.
type pace struct {
	first, gap mean
}

// mean is a smoothed mean.
type mean struct {
	value float64
	n     int
}

func (m *mean) slow(x float64) bool {
	return x > 0 && m.n >= paceSamples && x > slowFactor*m.value
}

func (m *mean) add(x float64) {
	if x <= 0 {
		return
	}
	m.n++
	m.value += max(paceSmoothing, 1/float64(m.n)) * (x - m.value)
}

func (o Outcome) ratio() float64 {
	return float64(o.First) / float64(headTime+time.Duration(o.PromptTokens)*perToken)
}

func (s *service) paceOf(kind string) *pace {
	p := s.pace[kind]
	if p == nil {
		p = &pace{}
		s.pace[kind] = p
	}
	return p
}

// fresh tells whether a version is the new one of a shift.
func (s *service) fresh(v model.VersionID) bool {
	return s.revision != 0 && v == s.state.Order.To
}

// SlowSilence returns how long an attempt may be silent between events before
// Slow should be asked with that time; zero for never.
func (m *Manager) SlowSilence(a Attempt) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(a.Service)
	gap := s.paceOf(a.Kind).gap
	if s.revision == 0 || s.state.Ended() || gap.n < paceSamples {
		return 0
	}
	return time.Duration(silenceFactor * slowFactor * gap.value * float64(time.Second))
}

// Slow tells whether the events of an attempt that goes on come too slowly, and
// counts it if so, as its end may be far off.
func (m *Manager) Slow(a Attempt, gap time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(a.Service)
	if s.revision == 0 || s.state.Ended() || !s.paceOf(a.Kind).gap.slow(gap.Seconds()) {
		return false
	}
	s.count(a.Version, slowAnswer)
	return true
}

// slowAnswer is one answer that goes on too slowly.
var slowAnswer = shift.Seen{Answers: rollout.Counts{Requests: 1}, Paced: rollout.Counts{Requests: 1, Slow: 1}}

// Retract takes back what Slow counted, as the upstream was to blame.
func (m *Manager) Retract(a Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(a.Service)
	if s.state.Ended() {
		return
	}
	seen := &s.own.old
	if s.fresh(a.Version) {
		seen = &s.own.fresh
	}
	if seen.Paced.Slow > 0 {
		seen.Answers = seen.Answers.Sub(slowAnswer.Answers)
		seen.Paced = seen.Paced.Sub(slowAnswer.Paced)
	}
}

// Ended takes in the end of an attempt.
func (m *Manager) Ended(o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(o.Service)
	p := s.paceOf(o.Kind)
	seen := o.seen(p)
	if !s.fresh(o.Version) {
		p.first.add(o.ratio())
		p.gap.add(o.Gap.Seconds())
	}
	if o.Counted {
		return
	}
	s.count(o.Version, seen)
	if s.fresh(o.Version) && o.Whole && seen.Paced.Requests > seen.Paced.Slow {
		s.own.good++
	}
}

// seen returns what an outcome shows. An answer without many events shows its
// pace only by a late beginning; the whole answer of a service is its beginning.
func (o Outcome) seen(p *pace) shift.Seen {
	var out shift.Seen
	out.Answers.Requests = 1
	if o.Failed {
		out.Answers.Errors = 1
		return out
	}
	if p.first.slow(o.ratio()) || p.gap.slow(o.Gap.Seconds()) {
		out.Paced = rollout.Counts{Requests: 1, Slow: 1}
	} else if o.Gap > 0 || o.PromptTokens == 0 {
		out.Paced.Requests = 1
	}
	return out
}

// count adds to what this VM saw of the versions of a shift under way.
func (s *service) count(v model.VersionID, c shift.Seen) {
	switch {
	case s.revision == 0 || s.state.Phase == shift.Reverted:
	case s.fresh(v):
		s.own.fresh = s.own.fresh.Add(c)
	default:
		s.own.old = s.own.old.Add(c)
	}
}
