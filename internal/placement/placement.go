// Package placement selects upstreams for requests. It combines the routing policy
// with the state that the policy needs: the load of this VM's subset of upstreams,
// circuit breakers and the index of cached prompt prefixes.
package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/loadstate"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// subsetSize is the largest number of upstreams that one VM uses for one model
	// version or plain service.
	subsetSize = 16
	// subsetLocalShare is the fraction of them in the VM's own region.
	subsetLocalShare = 0.75
	// bytesPerToken is the number of bytes that one generated token takes on a link.
	bytesPerToken = 160
)

// Hooks are called with the results of attempts and load reports. All are required.
type Hooks struct {
	// AttemptEnded is called when an attempt on a model version has completed or failed, but not when
	// it was abandoned. latency is its total duration.
	AttemptEnded func(ref model.Ref, failed bool, latency time.Duration)
	// Leaving is called when an answer or a load report says that the upstream is
	// draining.
	Leaving func(id upstream.ID)
	// Staying is called when a load report says that the upstream is not draining.
	// taken is the time at which the report was taken.
	Staying func(id upstream.ID, taken time.Time)
}

// Placement implements entry.Placement.
type Placement struct {
	self        vm.VM
	clock       clockwork.Clock
	hooks       Hooks
	engines     *route.Policy
	services    route.Selector
	state       *loadstate.State
	breakers    *retry.Breakers
	prefixIndex *loadstate.PrefixIndex
	// subset is the set of upstreams that this VM uses; nil before Install.
	subset atomic.Pointer[map[upstream.ID]bool]
}

// New returns a placement without upstreams; see Install.
func New(self vm.VM, clock clockwork.Clock, breakers *retry.Breakers, opts route.Options, hooks Hooks) *Placement {
	state := loadstate.DefaultOptions()
	state.Breakers = breakers
	return &Placement{
		self: self, clock: clock, hooks: hooks, breakers: breakers,
		engines:     route.NewPolicy(opts),
		services:    route.LeastRequests{Filters: route.DefaultFilters()},
		state:       loadstate.New(state),
		prefixIndex: loadstate.NewPrefixIndex(loadstate.DefaultPrefixIndexOptions()),
	}
}

// State returns the load state.
func (p *Placement) State() *loadstate.State {
	return p.state
}

// Install replaces the upstreams by those of a configuration. The load state and
// breakers of upstreams that remain in the subset are kept.
func (p *Placement) Install(index *document.Index) {
	groups := make(map[loadstate.Key][]*upstream.Upstream)
	opts := route.SubsetOptions{Size: subsetSize, LocalShare: subsetLocalShare}
	for _, m := range index.Doc.Models {
		for _, v := range m.Versions {
			ref := model.Ref{Model: m.Name, Version: v.ID}
			groups[loadstate.Key{Ref: ref}] = route.Subset(p.self, index.Engines(ref), index.Region, opts)
		}
	}
	for _, s := range index.Doc.Services {
		groups[loadstate.Key{Service: s.Name}] = route.Subset(p.self, index.Backends(s.Name), index.Region, opts)
	}
	subset := make(map[upstream.ID]bool)
	for _, group := range groups {
		for _, u := range group {
			subset[u.ID] = true
		}
	}
	p.subset.Store(&subset)
	p.breakers.Retain(func(key retry.BreakerKey) bool { return key.Upstream == "" || subset[key.Upstream] })
	p.state.Reconcile(loadstate.GroupConfig{
		Region: p.self.Region, Links: index.Links, RegionOf: index.Region, Groups: groups,
	})
}

// InSubset reports whether this VM uses the upstream.
func (p *Placement) InSubset(id upstream.ID) bool {
	subset := p.subset.Load()
	return subset != nil && (*subset)[id]
}

// Subset returns the upstreams that this VM uses, in no particular order.
func (p *Placement) Subset() []upstream.ID {
	subset := p.subset.Load()
	if subset == nil {
		return nil
	}
	return slices.Collect(maps.Keys(*subset))
}

// Choose implements entry.Placement. It returns nil if no upstream passes the
// filters, if the version's circuit breaker is open, or if the selected upstream has
// already failed the request.
func (p *Placement) Choose(_ *document.Index, req entry.Requirements) *upstream.Upstream {
	now := p.clock.Now()
	view, ok := p.state.View(loadstate.Key{Ref: req.Ref, Service: req.Service}, now)
	if !ok {
		return nil
	}
	r := route.Request{
		Service: req.Service, Region: p.self.Region, Priority: req.Client.Contract.Priority,
		Weights: req.Client.Contract.Weights, Preferred: req.Preferred, Tried: req.Tried, Draw: rand.Uint64(),
		Bytes: int64(len(req.Prompt)) + req.AnswerTokens*bytesPerToken,
	}
	if req.Service != "" {
		d, ok := p.services.Select(&r, view)
		return untriedUpstream(d, ok, req.Tried)
	}
	if !p.breakers.VersionReady(req.Ref, now) {
		return nil
	}
	r.Refs = []model.Ref{req.Ref}
	r.PromptTokens = len(req.Prompt) / route.BytesPerToken
	r.AnswerTokens = int(req.AnswerTokens)
	prefixes := route.AppendPrefixes(nil, req.Ref.String(), req.Prompt)
	r.PromptBlocks = len(prefixes)
	if len(prefixes) > 0 {
		r.Hints = p.prefixIndex.AppendHints(nil, prefixes, now)
		r.Home = view.Home(prefixes[0])
	}
	d, ok := p.engines.Select(&r, view)
	return untriedUpstream(d, ok, req.Tried)
}

// untriedUpstream returns the decision's upstream, or nil if there is none or it is
// in tried.
func untriedUpstream(d route.Decision, ok bool, tried []upstream.ID) *upstream.Upstream {
	if !ok {
		return nil
	}
	for _, id := range tried {
		if id == d.Upstream.ID {
			return nil
		}
	}
	return d.Upstream
}

// ExpectedTimeToFirstPiece implements entry.Placement. It returns zero if the time is
// unknown.
func (p *Placement) ExpectedTimeToFirstPiece(u *upstream.Upstream, req entry.Requirements) time.Duration {
	now := p.clock.Now()
	c, ok := p.candidate(u, req.Ref, now)
	if !ok || c.FirstToken == 0 {
		return 0
	}
	return c.FirstToken + p.linkAndPrefillTime(u, req.Ref, req.Prompt, now)
}

// Begin implements entry.Placement. The function that it returns ends the attempt and
// must be called exactly once.
func (p *Placement) Begin(u *upstream.Upstream, req entry.Requirements) func(entry.Outcome) {
	now := p.clock.Now()
	overhead := p.linkAndPrefillTime(u, req.Ref, req.Prompt, now)
	call, err := p.state.Begin(u.ID, now)
	permit, admitted := p.breakers.Acquire(u.ID, req.Ref, now)
	if req.Service == "" {
		p.prefixIndex.Record(route.AppendPrefixes(nil, req.Ref.String(), req.Prompt), u.ID, now)
	}
	return func(outcome entry.Outcome) {
		end := p.clock.Now()
		if err == nil {
			endCall(call, outcome, overhead, end)
		}
		if admitted {
			endPermit(&permit, outcome, end)
		}
		p.notifyHooks(u, req, outcome)
	}
}

// linkAndPrefillTime returns the part of the time to the first piece that is expected
// for the link and for the prefill of the uncached part of the prompt.
func (p *Placement) linkAndPrefillTime(u *upstream.Upstream, ref model.Ref, prompt []byte, now time.Time) time.Duration {
	c, ok := p.candidate(u, ref, now)
	if !ok {
		return 0
	}
	cached := 0
	for _, hint := range p.prefixIndex.AppendHints(nil, route.AppendPrefixes(nil, ref.String(), prompt), now) {
		if hint.Upstream == u.ID {
			cached = hint.Blocks * route.BlockBytes
		}
	}
	tokens := max(len(prompt)-cached, 0) / route.BytesPerToken
	return 2*c.LinkLatency + time.Duration(tokens)*route.DefaultPrefillPerToken
}

// candidate returns the state of an upstream for a version, or false if it is not in
// the version's group.
func (p *Placement) candidate(u *upstream.Upstream, ref model.Ref, now time.Time) (route.Candidate, bool) {
	var c route.Candidate
	view, ok := p.state.View(loadstate.Key{Ref: ref}, now)
	if !ok {
		return c, false
	}
	i, ok := view.Find(u.ID)
	if ok {
		view.Fill(i, &c)
	}
	return c, ok
}

// endCall ends the call in the load state. overhead is the expected time for link and
// prefill, which is subtracted from the time to the first piece.
func endCall(call *loadstate.Call, outcome entry.Outcome, overhead time.Duration, end time.Time) {
	if outcome.TimeToFirstPiece > 0 {
		call.FirstToken(outcome.TimeToFirstPiece - overhead)
	}
	call.End(end, outcome.Err == nil && outcome.Complete)
}

// endPermit records the result of an attempt in the circuit breakers. An attempt that
// neither failed nor completed has no result.
func endPermit(permit *retry.Permit, outcome entry.Outcome, end time.Time) {
	if outcome.Err == nil && !outcome.Complete {
		permit.Abandon()
		return
	}
	permit.Done(outcome.Err == nil, end)
}

// notifyHooks calls the hooks for an ended attempt, and marks the upstream as leaving
// if it is draining.
func (p *Placement) notifyHooks(u *upstream.Upstream, req entry.Requirements, outcome entry.Outcome) {
	if outcome.Draining {
		p.hooks.Leaving(u.ID)
		_ = p.state.SetLeaving(u.ID, true)
	}
	if req.Service == "" && (outcome.Err != nil || outcome.Complete) {
		p.hooks.AttemptEnded(req.Ref, outcome.Err != nil, outcome.Duration)
	}
}
