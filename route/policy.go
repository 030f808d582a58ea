package route

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// MaxSample bounds the sample of one decision, without hinted upstreams.
const MaxSample = 64

// Decision is the outcome of Select.
type Decision struct {
	Upstream *upstream.Upstream
	Ref      model.Ref
	// Cost is the sum of the scores, in seconds.
	Cost float64
	// Cached is the number of prompt blocks believed cached.
	Cached int
	// Considered counts the scored candidates.
	Considered int
	// Refused counts candidates by the reason of their refusal. Candidates
	// outside the sample are not counted.
	Refused Refused
}

// Selector chooses an upstream. It returns false if no candidate passes; then
// Decision.Refused tells why.
type Selector interface {
	Select(r *Request, s Source) (Decision, bool)
}

// Options set up a Policy.
type Options struct {
	// Sample is the number of candidates drawn, at most MaxSample.
	Sample  int
	Filters []Filter
	Scorers []Scorer
	// OnRefused, if set, is told how many candidates were refused for each
	// reason. It is called from many goroutines.
	OnRefused func(reason Reason, n int)
}

const (
	defaultSample     = 5
	defaultEcho       = 8.0
	defaultQueue      = 4.0
	defaultOrdinary   = 0.75
	defaultHold       = 2 * time.Second
	defaultBatchSlope = 0.1
	// DefaultPerToken is the time that an engine takes to read one prompt token.
	DefaultPerToken   = 50 * time.Microsecond
	defaultBound      = 1.25
	defaultHomeCredit = 0.25
	defaultSecond     = 1000.0
	defaultLoading    = 20 * time.Second
	defaultSilence    = 5 * time.Second
	defaultSilentCost = 10 * time.Second
)

// DefaultFilters returns the filters of model engines and plain services.
func DefaultFilters() []Filter {
	return []Filter{
		AllowedFilter{}, TriedFilter{}, LeavingFilter{}, BreakerFilter{},
		FullFilter{Factor: defaultQueue, Ordinary: defaultOrdinary},
	}
}

// DefaultScorers returns the scorers of model engines.
func DefaultScorers() []Scorer {
	return []Scorer{
		QueueScorer{Hold: defaultHold, BatchSlope: defaultBatchSlope, Echo: defaultEcho},
		PrefillScorer{PerToken: DefaultPerToken, Bound: defaultBound, Home: defaultHomeCredit},
		LinkScorer{},
		PriceScorer{MicrosPerSecond: defaultSecond},
		LoadScorer{Loading: defaultLoading},
		SilentScorer{After: defaultSilence, Cost: defaultSilentCost},
	}
}

// DefaultOptions returns the options of model engines.
func DefaultOptions() Options {
	return Options{Sample: defaultSample, Filters: DefaultFilters(), Scorers: DefaultScorers()}
}

// Policy draws a sample, filters and scores it and picks the cheapest
// candidate. It is safe for concurrent use.
type Policy struct {
	opts    Options
	scratch sync.Pool
}

type scratch struct {
	// request is a copy, so that the caller's need not be on the heap.
	request    Request
	candidates [MaxSample + MaxHints + 2]Candidate
	n          int
	seen       [MaxHints + 2]int
	nSeen      int
}

// NewPolicy returns a policy.
func NewPolicy(opts Options) *Policy {
	opts.Sample = min(max(opts.Sample, 1), MaxSample)
	return &Policy{
		opts:    opts,
		scratch: sync.Pool{New: func() any { return &scratch{} }},
	}
}

// Select implements Selector.
func (p *Policy) Select(r *Request, s Source) (Decision, bool) {
	w := p.scratch.Get().(*scratch)
	defer p.scratch.Put(w)
	w.request, w.n, w.nSeen = *r, 0, 0
	var d Decision
	p.takeNamed(&w.request, s, w, &d.Refused)
	p.takeSample(&w.request, s, w, &d.Refused)
	p.report(d.Refused)
	if w.n == 0 {
		return d, false
	}
	p.pick(&w.request, w, &d)
	return d, true
}

// takeNamed considers the upstreams that the request names.
func (p *Policy) takeNamed(r *Request, s Source, w *scratch, refused *Refused) {
	for _, h := range r.Hints[:min(len(r.Hints), MaxHints)] {
		p.takeUpstream(r, s, w, h.Upstream, refused)
	}
	if r.Preferred != "" {
		p.takeUpstream(r, s, w, r.Preferred, refused)
	}
	if r.Home != "" {
		p.takeUpstream(r, s, w, r.Home, refused)
	}
}

func (p *Policy) takeUpstream(r *Request, s Source, w *scratch, id upstream.ID, refused *Refused) {
	i, ok := s.Find(id)
	if !ok || w.has(i) {
		return
	}
	w.seen[w.nSeen] = i
	w.nSeen++
	p.take(r, s, w, i, refused)
}

// takeSample walks the source in random order until the sample is full.
func (p *Policy) takeSample(r *Request, s Source, w *scratch, refused *Refused) {
	walk := newWalk(s.Len(), r.Draw)
	for passed := 0; passed < p.opts.Sample; {
		i, ok := walk.next()
		if !ok {
			return
		}
		if !w.has(i) && p.take(r, s, w, i, refused) {
			passed++
		}
	}
}

func (w *scratch) has(i int) bool {
	for _, seen := range w.seen[:w.nSeen] {
		if seen == i {
			return true
		}
	}
	return false
}

// take fills candidate i and keeps it if all filters pass.
func (p *Policy) take(r *Request, s Source, w *scratch, i int, refused *Refused) bool {
	c := &w.candidates[w.n]
	s.Fill(i, c)
	for _, f := range p.opts.Filters {
		if !f.Pass(r, c) {
			refused[f.Reason()]++
			return false
		}
	}
	c.Blocks = blocks(r, c.Upstream.ID)
	w.n++
	return true
}

const (
	preferredBlocksPart = 3
	preferredBlocksOf   = 4
)

// blocks returns the prompt blocks believed cached. The session's upstream most
// likely holds the earlier part of the conversation.
func blocks(r *Request, id upstream.ID) int {
	n := r.hinted(id)
	if id == r.Preferred && r.Preferred != "" {
		n = max(n, r.PromptBlocks*preferredBlocksPart/preferredBlocksOf)
	}
	return n
}

// pick writes the cheapest candidate to d.
func (p *Policy) pick(r *Request, w *scratch, d *Decision) {
	candidates := w.candidates[:w.n]
	sample := measure(candidates)
	best := -1
	for i := range candidates {
		cost := 0.0
		for _, s := range p.opts.Scorers {
			cost += s.Score(r, &sample, &candidates[i])
		}
		if best < 0 || cost < d.Cost {
			best, d.Cost = i, cost
		}
	}
	c := &candidates[best]
	d.Upstream, d.Ref, d.Cached, d.Considered = c.Upstream, c.Ref, c.Blocks, w.n
}

func measure(candidates []Candidate) Sample {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].Use()
	}
	return Sample{MeanUse: sum / float64(len(candidates))}
}

func (p *Policy) report(refused Refused) {
	if p.opts.OnRefused == nil {
		return
	}
	for reason, n := range refused {
		if n > 0 {
			p.opts.OnRefused(Reason(reason), n)
		}
	}
}
