package shifts

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// Outcome is the end of one attempt on a version.
type Outcome struct {
	Service string
	Version model.VersionID
	// Kind groups attempts that take about the same time for their size.
	Kind string
	// Failed tells that the upstream is to blame.
	Failed bool
	// Took is the time to the first event or, without events, to the answer;
	// zero is unknown.
	Took time.Duration
	// PromptTokens is the length of the prompt.
	PromptTokens int
}

const (
	// slowFactor is how many times the usual time an answer takes to count as slow.
	slowFactor = 3.5
	// paceSamples is the least number of answers of the replaced version by
	// which others are judged.
	paceSamples = 10
	// paceSmoothing is the weight of the newest answer.
	paceSmoothing = 0.05
	// headTime and perToken are the usual time to a first event.
	headTime = 80 * time.Millisecond
	perToken = 11 * time.Microsecond
)

// pace learns how long answers of one kind take, in parts of the usual time.
type pace struct {
	mean float64
	n    int
}

func ratio(o Outcome) float64 {
	return float64(o.Took) / float64(headTime+time.Duration(o.PromptTokens)*perToken)
}

func (p *pace) slow(r float64) bool {
	return p.n >= paceSamples && r > slowFactor*p.mean
}

func (p *pace) add(r float64) {
	p.n++
	weight := max(paceSmoothing, 1/float64(p.n))
	p.mean += weight * (r - p.mean)
}

// Ended takes in the end of an attempt.
func (m *Manager) Ended(o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(o.Service)
	p := s.pace[o.Kind]
	if p == nil {
		p = &pace{}
		s.pace[o.Kind] = p
	}
	slow := o.Took > 0 && p.slow(ratio(o))
	fresh := s.revision != 0 && o.Version == s.state.Order.To
	if o.Took > 0 && !fresh {
		p.add(ratio(o))
	}
	if s.revision == 0 || s.state.Phase == shift.Reverted {
		return
	}
	counts := rollout.Counts{Requests: 1}
	if o.Failed {
		counts.Errors = 1
	}
	if slow {
		counts.Slow = 1
	}
	if fresh {
		s.own.fresh = s.own.fresh.Add(counts)
		return
	}
	s.own.old = s.own.old.Add(counts)
}
