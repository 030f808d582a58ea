package route

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// MaxSample is the largest number of candidates sampled for one decision. Hinted,
// preferred and home upstreams are added to the sample.
const MaxSample = 64

// Decision is the result of Select.
type Decision struct {
	// Upstream is the selected upstream; nil if no candidate passed the filters.
	Upstream *upstream.Upstream
	// Ref is the model version to request; zero for a plain service.
	Ref model.Ref
	// Cost is the sum of the scores, in seconds.
	Cost float64
	// CachedBlocks is the number of leading prompt blocks that are probably cached
	// on the upstream.
	CachedBlocks int
	// Considered is the number of candidates that passed the filters, or for
	// policies that stop at the first one, 1.
	Considered int
	// Refused counts the refused candidates by reason. Only candidates that were
	// examined are counted.
	Refused RefusalCounts
}

// Selector selects an upstream for a request.
type Selector interface {
	// Select returns false if no candidate passes the filters; Decision.Refused
	// then holds the reasons.
	Select(r *Request, s Source) (Decision, bool)
}

// Options configures a Policy.
type Options struct {
	// Sample is the number of candidates that are drawn and pass the filters, from
	// 1 to MaxSample. Values outside that range are clamped.
	Sample int
	// Filters are applied in order; the first one that refuses a candidate gives
	// the reason.
	Filters []Filter
	// Scorers give the costs whose sum is minimized.
	Scorers []Scorer
	// OnRefused, if set, is called after each decision with the number of refused
	// candidates for each reason that occurred. It must be safe for concurrent use.
	OnRefused func(reason Reason, n int)
}

// Defaults of the policy for model engines. The fields that they are assigned to
// in DefaultFilters, DefaultScorers and DefaultOptions state their meaning.
const (
	defaultSampleSize      = 5
	defaultRemotePerLocal  = 8.0
	defaultQueueFactor     = 4.0
	defaultOrdinaryShare   = 0.75
	defaultRequestDuration = 2 * time.Second
	defaultBatchSlope      = 0.1
	// DefaultPrefillPerToken is the time that an engine needs to prefill one prompt
	// token.
	DefaultPrefillPerToken    = 50 * time.Microsecond
	defaultUtilizationBound   = 1.25
	defaultHomeCredit         = 0.25
	defaultMicrosPerSecond    = 1000.0
	defaultModelLoadTime      = 20 * time.Second
	defaultMaxReportAge       = 5 * time.Second
	defaultStaleReportPenalty = 10 * time.Second
)

// DefaultFilters returns the filters for model engines and plain services.
func DefaultFilters() []Filter {
	return []Filter{
		AllowedFilter{}, TriedFilter{}, LeavingFilter{}, BreakerFilter{},
		FullFilter{QueueFactor: defaultQueueFactor, OrdinaryShare: defaultOrdinaryShare},
	}
}

// DefaultScorers returns the scorers for model engines.
func DefaultScorers() []Scorer {
	return []Scorer{
		QueueScorer{DefaultDuration: defaultRequestDuration, BatchSlope: defaultBatchSlope, RemotePerLocal: defaultRemotePerLocal},
		PrefillScorer{PerToken: DefaultPrefillPerToken, Bound: defaultUtilizationBound, HomeCredit: defaultHomeCredit},
		LinkScorer{},
		PriceScorer{MicrosPerSecond: defaultMicrosPerSecond},
		ModelLoadScorer{LoadTime: defaultModelLoadTime},
		StaleReportScorer{MaxReportAge: defaultMaxReportAge, Penalty: defaultStaleReportPenalty},
	}
}

// DefaultOptions returns the options for model engines.
func DefaultOptions() Options {
	return Options{Sample: defaultSampleSize, Filters: DefaultFilters(), Scorers: DefaultScorers()}
}

// Policy selects the cheapest candidate of a filtered random sample. It is safe
// for concurrent use.
type Policy struct {
	opts    Options
	scratch sync.Pool
}

// scratch is the reusable working memory of one decision.
type scratch struct {
	// request is a copy, so that the caller's request does not escape to the heap.
	request Request
	// candidates holds the sample, the hinted upstreams, the preferred upstream and
	// the home upstream; the first count entries are in use.
	candidates [MaxSample + MaxHints + 2]Candidate
	count      int
	// seen holds the indices of the upstreams that the request names; the first
	// seenCount entries are in use.
	seen      [MaxHints + 2]int
	seenCount int
}

// NewPolicy returns a policy with the given options.
func NewPolicy(opts Options) *Policy {
	opts.Sample = min(max(opts.Sample, 1), MaxSample)
	return &Policy{
		opts:    opts,
		scratch: sync.Pool{New: func() any { return &scratch{} }},
	}
}

// Select implements Selector.
func (p *Policy) Select(r *Request, s Source) (Decision, bool) {
	sc := p.scratch.Get().(*scratch)
	defer p.scratch.Put(sc)
	sc.request, sc.count, sc.seenCount = *r, 0, 0
	var d Decision
	p.addNamedUpstreams(&sc.request, s, sc, &d.Refused)
	p.addSample(&sc.request, s, sc, &d.Refused)
	p.reportRefused(d.Refused)
	if sc.count == 0 {
		return d, false
	}
	p.pickCheapest(&sc.request, sc, &d)
	return d, true
}

// addNamedUpstreams adds the upstreams that the request names: hinted, preferred
// and home.
func (p *Policy) addNamedUpstreams(r *Request, s Source, sc *scratch, refused *RefusalCounts) {
	for _, h := range r.Hints[:min(len(r.Hints), MaxHints)] {
		p.addUpstream(r, s, sc, h.Upstream, refused)
	}
	if r.Preferred != "" {
		p.addUpstream(r, s, sc, r.Preferred, refused)
	}
	if r.Home != "" {
		p.addUpstream(r, s, sc, r.Home, refused)
	}
}

// addUpstream adds the upstream with the given ID unless it is unknown or was
// already added.
func (p *Policy) addUpstream(r *Request, s Source, sc *scratch, id upstream.ID, refused *RefusalCounts) {
	i, ok := s.Find(id)
	if !ok || sc.isSeen(i) {
		return
	}
	sc.seen[sc.seenCount] = i
	sc.seenCount++
	p.addCandidate(r, s, sc, i, refused)
}

// addSample adds candidates in random order until Options.Sample of them have
// passed the filters or none is left.
func (p *Policy) addSample(r *Request, s Source, sc *scratch, refused *RefusalCounts) {
	walk := newWalk(s.Len(), r.Draw)
	for passed := 0; passed < p.opts.Sample; {
		i, ok := walk.next()
		if !ok {
			return
		}
		if !sc.isSeen(i) && p.addCandidate(r, s, sc, i, refused) {
			passed++
		}
	}
}

// isSeen reports whether candidate i is one of the named upstreams already added.
func (sc *scratch) isSeen(i int) bool {
	for _, seen := range sc.seen[:sc.seenCount] {
		if seen == i {
			return true
		}
	}
	return false
}

// addCandidate fills candidate i, keeps it if all filters pass it and reports
// whether they do.
func (p *Policy) addCandidate(r *Request, s Source, sc *scratch, i int, refused *RefusalCounts) bool {
	c := &sc.candidates[sc.count]
	s.Fill(i, c)
	for _, f := range p.opts.Filters {
		if !f.Pass(r, c) {
			refused[f.Reason()]++
			return false
		}
	}
	c.CachedBlocks = cachedBlocks(r, c.Upstream.ID)
	sc.count++
	return true
}

// Fraction of the prompt's blocks that the session's upstream is assumed to have
// cached.
const (
	preferredCachedNumerator   = 3
	preferredCachedDenominator = 4
)

// cachedBlocks returns the number of leading prompt blocks that are probably
// cached on the upstream. The session's upstream most likely has the earlier part
// of the conversation cached.
func cachedBlocks(r *Request, id upstream.ID) int {
	n := r.hintedBlocks(id)
	if id == r.Preferred && r.Preferred != "" {
		n = max(n, r.PromptBlocks*preferredCachedNumerator/preferredCachedDenominator)
	}
	return n
}

// pickCheapest writes the candidate with the lowest cost to d.
func (p *Policy) pickCheapest(r *Request, sc *scratch, d *Decision) {
	candidates := sc.candidates[:sc.count]
	stats := sampleStats(candidates)
	best := -1
	for i := range candidates {
		cost := 0.0
		for _, s := range p.opts.Scorers {
			cost += s.Score(r, &stats, &candidates[i])
		}
		if best < 0 || cost < d.Cost {
			best, d.Cost = i, cost
		}
	}
	c := &candidates[best]
	d.Upstream, d.Ref, d.CachedBlocks, d.Considered = c.Upstream, c.Ref, c.CachedBlocks, sc.count
}

// sampleStats returns the statistics of a non-empty sample.
func sampleStats(candidates []Candidate) SampleStats {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].Utilization()
	}
	return SampleStats{MeanUtilization: sum / float64(len(candidates))}
}

// reportRefused calls OnRefused for each reason that occurred.
func (p *Policy) reportRefused(refused RefusalCounts) {
	if p.opts.OnRefused == nil {
		return
	}
	for reason, n := range refused {
		if n > 0 {
			p.opts.OnRefused(Reason(reason), n)
		}
	}
}
