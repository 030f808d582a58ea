package engines

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// Placement configures how upstreams are selected. Costs are compared as times.
type Placement struct {
	// SameRegion and CrossRegion are the one-way latencies to another failure
	// domain of the same region and of another region. Defaults 1 ms and 30 ms.
	SameRegion, CrossRegion time.Duration
	// CrossRegionPrice is the price of traffic between regions, in micros per
	// million bytes. Default 10,000.
	CrossRegionPrice money.PerMillion
	// MicrosPerSecond is the price of one second of waiting, in micros; it
	// converts prices to times. Default 1000.
	MicrosPerSecond float64
	// PrefillPerToken is the cost of prefilling one prompt token. Default 66 µs.
	PrefillPerToken time.Duration
	// DefaultServiceTime is the assumed service time of an upstream, which is the
	// time that a request occupies it, while no service time has been measured.
	// Default 2 s.
	DefaultServiceTime time.Duration
	// BatchSlope is the share of the service time that a full batch adds to a
	// request. Default 1.
	BatchSlope float64
	// FailurePenalty is the cost of an upstream that fails every request; it is
	// scaled by the failure rate. Default 500 ms.
	FailurePenalty time.Duration
	// SmallModelShare is the share of a region's upstreams, 0 to 1, that is
	// preferred for small models. PoolMismatchPenalty is the cost of running a
	// small model on one of the other upstreams, or a large model on one of
	// these. Defaults 0.25 and 300 ms.
	SmallModelShare     float64
	PoolMismatchPenalty time.Duration
	// PoolBySpeed prefers slow upstreams for small models where upstreams differ clearly, if
	// Options.AnswerEnd is set. Default true.
	PoolBySpeed bool
	// CacheCreditSlack is by how much an upstream's utilization may exceed the
	// mean before its cached prefixes no longer lower its cost. Default 0.15.
	CacheCreditSlack float64
	// Breaker configures the circuit breaker of each upstream.
	Breaker retry.BreakerOptions
}

// DefaultPlacement returns the default placement.
func DefaultPlacement() Placement {
	return Placement{
		SameRegion: time.Millisecond, CrossRegion: 30 * time.Millisecond,
		CrossRegionPrice: 10_000, MicrosPerSecond: 1000,
		PrefillPerToken: 66 * time.Microsecond, DefaultServiceTime: 2 * time.Second, BatchSlope: 1,
		FailurePenalty: 500 * time.Millisecond, CacheCreditSlack: 0.15, SmallModelShare: 0.25, PoolMismatchPenalty: 300 * time.Millisecond,
		PoolBySpeed: true,
		Breaker: retry.BreakerOptions{
			Window: 5 * time.Second, MinRequests: 3, ErrorRate: 0.6,
			OpenFor: time.Second, MaxOpenFor: 4 * time.Second, Probes: 1, ProbeLease: 3 * time.Second,
		},
	}
}

// policies holds the selection policy that skips open circuit breakers, and the
// one that ignores them, which is used if all of them are open.
type policies struct {
	withBreakers, ignoringBreakers *route.Policy
}

// newPolicies returns the selection policies for the given configuration. answerEnd adds the
// costs by when answers end, and spread those that spread the requests of VMs that know the same.
func newPolicies(p Placement, answerEnd, spread bool) policies {
	scorers := []route.Scorer{
		route.QueueScorer{DefaultDuration: p.DefaultServiceTime, BatchSlope: p.BatchSlope},
		route.PrefillScorer{PerToken: p.PrefillPerToken, Bound: 1, Slack: p.CacheCreditSlack, HomeCredit: 1},
		route.LinkScorer{},
		route.PriceScorer{MicrosPerSecond: p.MicrosPerSecond},
	}
	if answerEnd {
		scorers = append(scorers, route.DefaultEndScorer(), route.DefaultMemoryScorer())
	}
	if spread {
		scorers = append(scorers, route.DefaultSpreadScorer())
	}
	always := []route.Filter{
		route.RegionFilter{}, route.EvacuatedFilter{}, route.TriedFilter{}, route.LeavingFilter{}, route.PausedFilter{},
		route.LimitFilter{}, route.PlaceFilter{}, route.ColdFilter{},
	}
	options := func(filters ...route.Filter) route.Options {
		return route.Options{Sample: route.MaxSample, Filters: append(filters, always...), Scorers: scorers}
	}
	return policies{
		withBreakers:     route.NewPolicy(options(route.BreakerFilter{})),
		ignoringBreakers: route.NewPolicy(options()),
	}
}

// Requirements describes the request that an upstream is selected for.
type Requirements struct {
	Service string
	// Regions are the regions in which the request may be served.
	Regions domain.RegionSet
	// Allowed reports whether upstreams of a version may be used; nil allows all.
	Allowed func(model.VersionID) bool
	// PrefixHash is the hash of the shared prompt prefix; requests with the same
	// prefix prefer the same home upstream. Zero for none.
	PrefixHash uint64
	// SharedTokens is the length of the shared prompt prefix in tokens.
	SharedTokens int
	// Bytes is the expected traffic of the request and its response.
	Bytes int64
	// Tried lists the upstreams that must not be selected again.
	Tried []upstream.ID
	// Only lists the upstreams of which one must be selected; empty allows all.
	Only []upstream.ID
	// Draw is a random number that seeds the sampling of candidates.
	Draw uint64
	// RouterPicksModel reports whether the router selects the model, and
	// SmallModel whether the selected one is smaller than the route's largest.
	RouterPicksModel, SmallModel bool
	// Answer is the answer that is expected; zero leaves its end out of account.
	Answer AnswerShape
	// TrialShare is the fraction of the service's sessions that get a version on trial, 0 to 1, if this is one of them; 0 for
	// others.
	TrialShare float64
}

// Choice is the result of Choose.
type Choice struct {
	Engine *Engine
	// AnswerEnd is the time to the expected end of the answer on it, and EventGap the expected
	// time between events; zero if unknown.
	AnswerEnd, EventGap time.Duration
	// Candidates is the number of upstreams of the service with an allowed
	// version.
	Candidates int
	// Refused counts the rejected candidates by reason.
	Refused route.RefusalCounts
	// PauseLeft is how long the shortest pause of the refused upstreams still lasts if
	// Engine is nil; zero if none of them is paused.
	PauseLeft time.Duration
	// LimitLeft is the time until the limit of one of them allows some VM a request; zero if
	// none of them has one.
	LimitLeft time.Duration
	// ColdLeft is the time until some VM may send one of them a request although it is cold; zero
	// if none of them is cold.
	ColdLeft time.Duration
	// BreakersIgnored reports whether no candidate passed with the circuit
	// breakers in effect, so that they were ignored.
	BreakersIgnored bool
}

// Choose selects the upstream for a request; Choice.Engine is nil if there is
// none. A request of a trial goes to one of the trial's upstreams while one of them takes it.
func (d *Directory) Choose(req Requirements) Choice {
	if trial := d.trialUpstreams(req); len(trial) > 0 {
		ofTrial := req
		ofTrial.Only = trial
		if choice := d.choose(ofTrial); choice.Engine != nil && !choice.BreakersIgnored {
			return choice
		}
	}
	return d.choose(req)
}

// choose selects the upstream for a request, of a trial or not.
func (d *Directory) choose(req Requirements) Choice {
	now := d.clock.Now()
	engines := d.ForService(req.Service)
	allowed := make([]*Engine, 0, len(engines))
	candidates := make(route.Slice, 0, len(engines))
	for _, e := range engines {
		if req.Allowed != nil && !req.Allowed(e.Version()) || len(req.Only) > 0 && !slices.Contains(req.Only, e.ID()) {
			continue
		}
		allowed = append(allowed, e)
		candidates = append(candidates, route.Candidate{})
		e.fillCandidate(&candidates[len(candidates)-1], now)
	}
	if d.limitsSlowStarts(engines) {
		for i, e := range allowed {
			candidates[i].FirstToken += e.slowStartCost()
		}
	}
	usable := d.usable(allowed, req.Regions)
	var small map[*Engine]bool
	if req.RouterPicksModel {
		small = d.modelPool(req.Service, usable, now)
		for i, e := range allowed {
			if len(small) > 0 && small[e] != req.SmallModel {
				candidates[i].FirstToken += d.opts.Placement.PoolMismatchPenalty
			}
		}
	}
	request := route.Request{
		Service: req.Service, PromptTokens: req.SharedTokens, Bytes: req.Bytes, Tried: req.Tried, Draw: req.Draw,
		Regions: req.Regions, Home: d.homeUpstream(req, usable, d.homePool(&req, small, now)),
	}
	d.expectAnswers(&request, candidates, allowed, &req.Answer, now)
	choice := Choice{Candidates: len(allowed)}
	decision, ok := d.policies.withBreakers.Select(&request, candidates)
	choice.Refused = decision.Refused
	if !ok {
		choice.BreakersIgnored = true
		decision, ok = d.policies.ignoringBreakers.Select(&request, candidates)
		choice.Refused = decision.Refused
	}
	if !ok {
		choice.PauseLeft = shortestWait(usable, req.Tried, func(e *Engine) time.Duration { return e.pauseLeft(now) })
		choice.ColdLeft = shortestWait(usable, req.Tried, func(e *Engine) time.Duration { return e.coldLeft(now) })
		choice.LimitLeft = shortestWait(usable, req.Tried, func(e *Engine) time.Duration { return e.limitLeft(now) })
		return choice
	}
	for i, e := range allowed {
		if &e.identity == decision.Upstream {
			choice.Engine, choice.AnswerEnd, choice.EventGap = e, candidates[i].AnswerEnd, candidates[i].EventGap
		}
	}
	return choice
}

// shortestWait returns the shortest positive wait for an upstream, zero if there is none.
// Upstreams that were tried or are leaving don't count.
func shortestWait(engines []*Engine, tried []upstream.ID, waitFor func(*Engine) time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, e := range engines {
		left := waitFor(e)
		if left <= 0 || e.Leaving() || slices.Contains(tried, e.ID()) {
			continue
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// crossRegionCost returns the cost of sending a request to another region: the
// round trip and the price of the traffic, as a time.
func (p Placement) crossRegionCost(req Requirements) time.Duration {
	price := float64(p.CrossRegionPrice) * float64(req.Bytes) / bytesPerMB / p.MicrosPerSecond
	return 2*p.CrossRegion + time.Duration(price*float64(time.Second))
}

// bytesPerMB is the unit of volume of prices, in bytes.
const bytesPerMB = 1e6

// homeUpstream returns the upstream that requests with the same prefix prefer, by
// rendezvous hashing; empty for none. It considers the upstreams of this VM's
// region only, unless prefilling the prefix costs more than sending the request
// to another region and the own one has few upstreams (see hasOwnHomes).
func (d *Directory) homeUpstream(req Requirements, usable []*Engine, small map[*Engine]bool) upstream.ID {
	if req.PrefixHash == 0 {
		return ""
	}
	p := d.opts.Placement
	anyRegion := time.Duration(req.SharedTokens)*p.PrefillPerToken > p.crossRegionCost(req) && !d.hasOwnHomes(usable)
	candidates := make([]*Engine, 0, len(usable))
	hashes := make([]uint64, 0, len(usable))
	for _, e := range usable {
		if (anyRegion || d.opts.RegionOf(e.entry().Domain) == d.opts.Region) && !e.Leaving() &&
			(len(small) == 0 || small[e] == req.SmallModel) {
			candidates = append(candidates, e)
			hashes = append(hashes, e.hash)
		}
	}
	if i := route.Home(req.PrefixHash, hashes); i >= 0 {
		return candidates[i].ID()
	}
	return ""
}

// linkLatency returns the one-way latency from this VM to a failure domain.
func (d *Directory) linkLatency(id domain.ID) time.Duration {
	switch {
	case id == d.opts.Domain:
		return 0
	case d.opts.RegionOf(id) == d.opts.Region:
		return d.opts.Placement.SameRegion
	}
	return d.opts.Placement.CrossRegion
}
