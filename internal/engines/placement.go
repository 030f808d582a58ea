package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// Placement says how upstreams are chosen.
type Placement struct {
	// SameRegion and CrossRegion are one-way latencies between failure domains.
	SameRegion, CrossRegion time.Duration
	// CrossRegionPrice is the price of volume between regions.
	CrossRegionPrice money.PerMillion
	// MicrosPerSecond is what a second of waiting is worth, in micros.
	MicrosPerSecond float64
	// PerToken is what reading one prompt token is worth, as a time.
	PerToken time.Duration
	// Hold stands in for an unknown time that a request occupies an engine.
	Hold time.Duration
	// BatchSlope is the part of that time that a full batch adds.
	BatchSlope float64
	// FailingCost is the cost of an upstream that fails all requests.
	FailingCost time.Duration
	// SmallShare is the part of upstreams that small models prefer, Apart the cost
	// of the others to them and the other way round.
	SmallShare float64
	Apart      time.Duration
	// Slack is the use beyond the mean up to which a cache is credited.
	Slack float64
	// Breaker sets up the circuit breaker of each upstream.
	Breaker retry.BreakerOptions
}

// DefaultPlacement returns the default placement.
func DefaultPlacement() Placement {
	return Placement{
		SameRegion: time.Millisecond, CrossRegion: 30 * time.Millisecond,
		CrossRegionPrice: 10_000, MicrosPerSecond: 1000,
		PerToken: 66 * time.Microsecond, Hold: 2 * time.Second, BatchSlope: 1,
		FailingCost: 500 * time.Millisecond, Slack: 0.15, SmallShare: 0.25, Apart: 300 * time.Millisecond,
		Breaker: retry.BreakerOptions{
			Window: 5 * time.Second, MinRequests: 3, ErrorRate: 0.6,
			OpenFor: time.Second, MaxOpenFor: 4 * time.Second, Probes: 1, ProbeLease: 3 * time.Second,
		},
	}
}

// policies choose with and without regard to circuit breakers, for when all of
// them are open.
type policies struct {
	guarded, any *route.Policy
}

func newPolicies(p Placement) policies {
	scorers := []route.Scorer{
		route.QueueScorer{DefaultDuration: p.Hold, BatchSlope: p.BatchSlope},
		route.PrefillScorer{PerToken: p.PerToken, Bound: 1, Slack: p.Slack, HomeCredit: 1},
		route.LinkScorer{},
		route.PriceScorer{MicrosPerSecond: p.MicrosPerSecond},
	}
	always := []route.Filter{route.TriedFilter{}, route.LeavingFilter{}}
	options := func(filters ...route.Filter) route.Options {
		return route.Options{Sample: route.MaxSample, Filters: append(filters, always...), Scorers: scorers}
	}
	return policies{
		guarded: route.NewPolicy(options(route.BreakerFilter{})),
		any:     route.NewPolicy(options()),
	}
}

// Want says what an upstream is chosen for.
type Want struct {
	Service string
	// Allowed tells whether upstreams of a version may be used.
	Allowed func(model.VersionID) bool
	// Locality is the hash of the prompt part that requests are gathered by;
	// zero for none.
	Locality uint64
	// SharedTokens is the length of the part of the prompt that
	// other requests share.
	SharedTokens int
	// Bytes is the expected volume on the link.
	Bytes int64
	// Tried lists upstreams not to choose again.
	Tried []upstream.ID
	// Draw is a random number.
	Draw uint64
	// Chooses tells that the model is one of several, Small that it is not the
	// largest.
	Chooses, Small bool
}

// Choice is the outcome of Choose.
type Choice struct {
	Engine *Engine
	// Candidates counts the upstreams of an allowed version.
	Candidates int
	// Refused counts candidates by the reason of their refusal.
	Refused route.RefusalCounts
	// Forced tells that all candidates' circuit breakers were open.
	Forced bool
}

// Choose returns the upstream for a request; Engine is nil if there is none.
func (d *Directory) Choose(w Want) Choice {
	now := d.clock.Now()
	engines := d.Of(w.Service)
	allowed := make([]*Engine, 0, len(engines))
	candidates := make(route.Slice, 0, len(engines))
	for _, e := range engines {
		if w.Allowed != nil && !w.Allowed(e.Version()) {
			continue
		}
		allowed = append(allowed, e)
		candidates = append(candidates, route.Candidate{})
		e.fill(&candidates[len(candidates)-1], now)
	}
	var small map[*Engine]bool
	if w.Chooses {
		small = d.pools(allowed)
		for i, e := range allowed {
			if len(small) > 0 && small[e] != w.Small {
				candidates[i].FirstToken += d.opts.Placement.Apart
			}
		}
	}
	request := route.Request{
		Service: w.Service, PromptTokens: w.SharedTokens, Bytes: w.Bytes, Tried: w.Tried, Draw: w.Draw,
		Home: d.home(w, allowed, small),
	}
	out := Choice{Candidates: len(allowed)}
	decision, ok := d.policies.guarded.Select(&request, candidates)
	out.Refused = decision.Refused
	if !ok {
		out.Forced = true
		decision, ok = d.policies.any.Select(&request, candidates)
	}
	if !ok {
		return out
	}
	for _, e := range allowed {
		if &e.placed == decision.Upstream {
			out.Engine = e
		}
	}
	return out
}

// crossing returns the cost of sending a request to another region, as a time.
func (p Placement) crossing(w Want) time.Duration {
	price := float64(p.CrossRegionPrice) * float64(w.Bytes) / bytesPerMB / p.MicrosPerSecond
	return 2*p.CrossRegion + time.Duration(price*float64(time.Second))
}

const bytesPerMB = 1e6

// home returns the upstream on which requests with the same prompt part are
// gathered: among those of this VM's region or, where the part is worth the
// crossing, among all.
func (d *Directory) home(w Want, allowed []*Engine, small map[*Engine]bool) upstream.ID {
	if w.Locality == 0 {
		return ""
	}
	p := d.opts.Placement
	anywhere := time.Duration(w.SharedTokens)*p.PerToken > p.crossing(w)
	homes := make([]*Engine, 0, len(allowed))
	hashes := make([]uint64, 0, len(allowed))
	for _, e := range allowed {
		if (anywhere || d.opts.RegionOf(e.entry().Domain) == d.opts.Region) && !e.Leaving() &&
			(len(small) == 0 || small[e] == w.Small) {
			homes = append(homes, e)
			hashes = append(hashes, e.hash)
		}
	}
	if i := route.Home(w.Locality, hashes); i >= 0 {
		return homes[i].ID()
	}
	return ""
}

func (d *Directory) linkLatency(id domain.ID) time.Duration {
	switch {
	case id == d.opts.Domain:
		return 0
	case d.opts.RegionOf(id) == d.opts.Region:
		return d.opts.Placement.SameRegion
	}
	return d.opts.Placement.CrossRegion
}
