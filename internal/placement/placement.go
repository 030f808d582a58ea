// Package placement joins the routing policy with the state that it decides on:
// the load of the upstreams in sight, circuit breakers and prompt locality.
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
	// subsetSize bounds the engines in sight for one version.
	subsetSize = 16
	// subsetLocal is the part of them in the VM's own region.
	subsetLocal = 0.75
	// bytesPerToken is the volume of one generated token on a link.
	bytesPerToken = 160
)

// Hooks are told of ended attempts. All are required.
type Hooks struct {
	// Ended is told how an attempt on a version went.
	Ended func(ref model.Ref, failed bool, latency time.Duration)
	// Leaving is told that an upstream said it is leaving.
	Leaving func(id upstream.ID)
	// Staying is told of a load report, taken at the time, without such a sign.
	Staying func(id upstream.ID, taken time.Time)
}

// Placement implements entry.Placement.
type Placement struct {
	self     vm.VM
	clock    clockwork.Clock
	hooks    Hooks
	engines  *route.Policy
	services route.Selector
	state    *loadstate.State
	breakers *retry.Breakers
	locality *loadstate.Locality
	sight    atomic.Pointer[map[upstream.ID]bool]
}

// New returns a placement that knows no upstreams.
func New(self vm.VM, clock clockwork.Clock, breakers *retry.Breakers, opts route.Options, hooks Hooks) *Placement {
	state := loadstate.DefaultOptions()
	state.Gate = breakers
	return &Placement{
		self: self, clock: clock, hooks: hooks, breakers: breakers,
		engines:  route.NewPolicy(opts),
		services: route.LeastRequests{Filters: route.DefaultFilters()},
		state:    loadstate.New(state),
		locality: loadstate.NewLocality(loadstate.DefaultLocalityOptions()),
	}
}

// State returns the load state.
func (p *Placement) State() *loadstate.State {
	return p.state
}

// Install takes over the upstreams of a configuration.
func (p *Placement) Install(x *document.Index) {
	groups := make(map[loadstate.Key][]*upstream.Upstream)
	subset := route.SubsetOptions{Size: subsetSize, Local: subsetLocal}
	for _, m := range x.Doc.Models {
		for _, v := range m.Versions {
			ref := model.Ref{Model: m.Name, Version: v.ID}
			groups[loadstate.Key{Ref: ref}] = route.Subset(p.self, x.Engines(ref), x.Region, subset)
		}
	}
	for _, s := range x.Doc.Services {
		groups[loadstate.Key{Service: s.Name}] = route.Subset(p.self, x.Backends(s.Name), x.Region, subset)
	}
	sight := make(map[upstream.ID]bool)
	for _, group := range groups {
		for _, u := range group {
			sight[u.ID] = true
		}
	}
	p.sight.Store(&sight)
	p.breakers.Retain(func(key retry.BreakerKey) bool { return key.Upstream == "" || sight[key.Upstream] })
	p.state.Reconcile(loadstate.Placement{
		Region: p.self.Region, Links: x.Links, RegionOf: x.Region, Groups: groups,
	})
}

// Sees tells whether the upstream is in sight of this VM.
func (p *Placement) Sees(id upstream.ID) bool {
	sight := p.sight.Load()
	return sight != nil && (*sight)[id]
}

// Sight returns the upstreams in sight of this VM, in no order.
func (p *Placement) Sight() []upstream.ID {
	sight := p.sight.Load()
	if sight == nil {
		return nil
	}
	return slices.Collect(maps.Keys(*sight))
}

// Choose implements entry.Placement.
func (p *Placement) Choose(_ *document.Index, want entry.Want) *upstream.Upstream {
	now := p.clock.Now()
	view, ok := p.state.View(loadstate.Key{Ref: want.Ref, Service: want.Service}, now)
	if !ok {
		return nil
	}
	r := route.Request{
		Service: want.Service, Region: p.self.Region, Priority: want.Client.Contract.Priority,
		Weights: want.Client.Contract.Weights, Preferred: want.Near, Tried: want.Tried, Draw: rand.Uint64(),
		Bytes: int64(len(want.Prompt)) + want.AnswerTokens*bytesPerToken,
	}
	if want.Service != "" {
		d, ok := p.services.Select(&r, view)
		return chosen(d, ok, want.Tried)
	}
	if !p.breakers.VersionReady(want.Ref, now) {
		return nil
	}
	r.Refs = []model.Ref{want.Ref}
	r.PromptTokens = len(want.Prompt) / route.BytesPerToken
	r.AnswerTokens = int(want.AnswerTokens)
	prefixes := route.AppendPrefixes(nil, want.Ref.String(), want.Prompt)
	r.PromptBlocks = len(prefixes)
	if len(prefixes) > 0 {
		r.Hints = p.locality.AppendHints(nil, prefixes, now)
		r.Home = view.Home(prefixes[0])
	}
	d, ok := p.engines.Select(&r, view)
	return chosen(d, ok, want.Tried)
}

// chosen returns the decision's upstream, unless it failed the request before.
func chosen(d route.Decision, ok bool, tried []upstream.ID) *upstream.Upstream {
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

// Expected implements entry.Placement.
func (p *Placement) Expected(u *upstream.Upstream, want entry.Want) time.Duration {
	now := p.clock.Now()
	c, ok := p.candidate(u, want.Ref, now)
	if !ok || c.FirstToken == 0 {
		return 0
	}
	return c.FirstToken + p.fixed(u, want.Ref, want.Prompt, now)
}

// Begin implements entry.Placement.
func (p *Placement) Begin(u *upstream.Upstream, want entry.Want) func(entry.Outcome) {
	now := p.clock.Now()
	fixed := p.fixed(u, want.Ref, want.Prompt, now)
	call, err := p.state.Begin(u.ID, now)
	trial, through := p.breakers.Begin(u.ID, want.Ref, now)
	if want.Service == "" {
		p.locality.Learn(route.AppendPrefixes(nil, want.Ref.String(), want.Prompt), u.ID, now)
	}
	return func(o entry.Outcome) {
		end := p.clock.Now()
		if err == nil {
			endCall(call, o, fixed, end)
		}
		if through {
			endTrial(&trial, o, end)
		}
		p.tell(u, want, o)
	}
}

// fixed returns the part of the time to the first piece that link and prefill
// are expected to take.
func (p *Placement) fixed(u *upstream.Upstream, ref model.Ref, prompt []byte, now time.Time) time.Duration {
	c, ok := p.candidate(u, ref, now)
	if !ok {
		return 0
	}
	cached := 0
	for _, hint := range p.locality.AppendHints(nil, route.AppendPrefixes(nil, ref.String(), prompt), now) {
		if hint.Upstream == u.ID {
			cached = hint.Blocks * route.BlockBytes
		}
	}
	tokens := max(len(prompt)-cached, 0) / route.BytesPerToken
	return 2*c.LinkLatency + time.Duration(tokens)*route.DefaultPerToken
}

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

func endCall(call *loadstate.Call, o entry.Outcome, fixed time.Duration, end time.Time) {
	if o.FirstPiece > 0 {
		call.FirstToken(o.FirstPiece - fixed)
	}
	call.End(end, o.Err == nil && o.Whole)
}

func endTrial(trial *retry.Trial, o entry.Outcome, end time.Time) {
	if o.Err == nil && !o.Whole {
		trial.Abandon()
		return
	}
	trial.Done(o.Err == nil, end)
}

func (p *Placement) tell(u *upstream.Upstream, want entry.Want, o entry.Outcome) {
	if o.Draining {
		p.hooks.Leaving(u.ID)
		_ = p.state.SetLeaving(u.ID, true)
	}
	if want.Service == "" && (o.Err != nil || o.Whole) {
		p.hooks.Ended(want.Ref, o.Err != nil, o.Duration)
	}
}
