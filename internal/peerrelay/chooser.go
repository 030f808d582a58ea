package peerrelay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/vm"
)

// Options configure a Chooser. All fields are required.
type Options struct {
	// Domain and Region are those of this VM, and RegionOf returns the region of a failure
	// domain.
	Domain   domain.ID
	Region   domain.Region
	RegionOf func(domain.ID) domain.Region
	// Members returns the other VMs. The map is not changed.
	Members func() map[vm.ID]members.Member
	Clock   clockwork.Clock
}

// Chooser chooses among the other VMs. It is safe for concurrent use.
type Chooser struct {
	opts Options

	mu sync.Mutex
	// inFlight is the number of requests that each VM relays for this one.
	inFlight map[vm.ID]int
	// provenAt is when a VM last relayed a request for a service, and leftUntil until when it
	// is left alone; for all services under an empty name.
	provenAt, leftUntil map[standingKey]time.Time
	// domainRefusedAt is when a VM of a failure domain last refused a request for a service:
	// its other VMs may have lost the way, too.
	domainRefusedAt map[domainKey]time.Time
}

// domainKey identifies what is known of the VMs of a failure domain regarding a service.
type domainKey struct {
	domain  domain.ID
	service string
}

// standingKey identifies what is known of a VM regarding a service.
type standingKey struct {
	vm      vm.ID
	service string
}

// NewChooser returns a Chooser that knows nothing of other VMs.
func NewChooser(opts Options) *Chooser {
	return &Chooser{
		opts: opts, inFlight: make(map[vm.ID]int),
		provenAt: make(map[standingKey]time.Time), leftUntil: make(map[standingKey]time.Time),
		domainRefusedAt: make(map[domainKey]time.Time),
	}
}

const (
	// leaveFor is how long a VM that could not relay a request is left alone.
	leaveFor = time.Second
	// provenFor is how long a VM is preferred after it relayed a request, and doubtedFor how
	// long the VMs of a failure domain are not after one of them refused.
	provenFor  = 3 * time.Second
	doubtedFor = 3 * time.Second

	// Costs of a VM, as times: of the way to it, of each request that it relays for this VM
	// already, and of not knowing whether it can.
	sameDomainCost    = time.Millisecond
	sameRegionCost    = 3 * time.Millisecond
	otherRegionCost   = 60 * time.Millisecond
	costPerRequest    = 4 * time.Millisecond
	costIfNotProven   = 20 * time.Millisecond
	costIfDoubted     = 200 * time.Millisecond
	maxCandidates     = 32
	standingsPerSweep = 4096
)

// Peer is a VM that is asked to relay a request.
type Peer struct {
	ID vm.ID
	// Address is the host:port of its listener for relayed requests.
	Address string
	// KeepsConfigs is that of members.Member.
	KeepsConfigs bool

	domain  domain.ID
	service string
	chooser *Chooser
}

// Choose returns the VM with the lowest cost, in one of the regions, that may relay a request
// for a service, and false if there is none. Those that were tried are left out, and for a
// restricted request also VMs of older builds, which don't keep it in its regions. End must be
// called on the result.
func (c *Chooser) Choose(service string, regions domain.RegionSet, tried []vm.ID) (*Peer, bool) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	best, lowest, found := members.Member{}, time.Duration(0), false
	for _, m := range c.candidates(service, regions, tried, now) {
		if cost := c.cost(m, service, now); !found || cost < lowest {
			best, lowest, found = m, cost, true
		}
	}
	if !found {
		return nil, false
	}
	c.inFlight[best.ID]++
	return &Peer{ID: best.ID, Address: best.Relay.String(), KeepsConfigs: best.KeepsConfigs, domain: best.Domain, service: service, chooser: c}, true
}

// HasProven reports whether a VM in one of the regions that may be asked has lately relayed a request for the
// service, so that it reaches its upstreams.
func (c *Chooser) HasProven(service string, regions domain.RegionSet) bool {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.candidates(service, regions, nil, now), func(m members.Member) bool {
		return c.isProven(m.ID, service, now)
	})
}

// isProven reports whether a VM has lately relayed a request for the service. The caller holds mu.
func (c *Chooser) isProven(id vm.ID, service string, now time.Time) bool {
	provenAt, known := c.provenAt[standingKey{id, service}]
	return known && now.Sub(provenAt) <= provenFor
}

// candidates returns VMs that may be asked, at most maxCandidates, in random order. The
// caller holds mu, as for cost.
func (c *Chooser) candidates(service string, regions domain.RegionSet, tried []vm.ID, now time.Time) []members.Member {
	var all []members.Member
	for id, m := range c.opts.Members() {
		if m.Relay.IsValid() && !slices.Contains(tried, id) && regions.Contains(c.opts.RegionOf(m.Domain)) &&
			(m.KeepsRegions || !regions.Restricted()) &&
			!now.Before(c.leftUntil[standingKey{id, service}]) && !now.Before(c.leftUntil[standingKey{vm: id}]) {
			all = append(all, m)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) <= maxCandidates {
		return all
	}
	// Those that are proven, and those nearby, are among the candidates.
	slices.SortStableFunc(all, func(a, b members.Member) int {
		return int(c.cost(a, service, now) - c.cost(b, service, now))
	})
	return all[:maxCandidates]
}

// cost returns what it costs to ask a VM.
func (c *Chooser) cost(m members.Member, service string, now time.Time) time.Duration {
	cost := otherRegionCost
	switch {
	case m.Domain == c.opts.Domain:
		cost = sameDomainCost
	case c.opts.RegionOf(m.Domain) == c.opts.Region:
		cost = sameRegionCost
	}
	if !c.isProven(m.ID, service, now) {
		cost += costIfNotProven
		if refusedAt, refused := c.domainRefusedAt[domainKey{m.Domain, service}]; refused && now.Sub(refusedAt) < doubtedFor {
			cost += costIfDoubted
		}
	}
	return cost + time.Duration(c.inFlight[m.ID])*costPerRequest
}

// Result is how a VM handled a request that it was asked to relay.
type Result int

// The results.
const (
	// Relayed means that the VM answered the request.
	Relayed Result = iota
	// Inconclusive means that the outcome tells nothing about the VM.
	Inconclusive
	// RefusedService means that the VM can't relay requests for the service now.
	RefusedService
	// Unavailable means that the VM can't relay any request now, or can't be reached.
	Unavailable
)

// End records how the VM handled the request. It must be called once.
func (p *Peer) End(r Result) {
	c := p.chooser
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[p.ID]--; c.inFlight[p.ID] <= 0 {
		delete(c.inFlight, p.ID)
	}
	switch r {
	case Relayed:
		c.provenAt[standingKey{p.ID, p.service}] = now
	case RefusedService:
		c.leftUntil[standingKey{p.ID, p.service}] = now.Add(leaveFor)
		c.domainRefusedAt[domainKey{p.domain, p.service}] = now
	case Unavailable:
		c.leftUntil[standingKey{vm: p.ID}] = now.Add(leaveFor)
	}
	c.sweep(now)
}

// sweep forgets what is over if much is known. The caller holds mu.
func (c *Chooser) sweep(now time.Time) {
	if len(c.provenAt) > standingsPerSweep {
		for key, at := range c.provenAt {
			if now.Sub(at) > provenFor {
				delete(c.provenAt, key)
			}
		}
	}
	if len(c.leftUntil) > standingsPerSweep {
		for key, until := range c.leftUntil {
			if now.After(until) {
				delete(c.leftUntil, key)
			}
		}
	}
}

// IsMember reports whether an address is that of another VM.
func IsMember(others map[vm.ID]members.Member, address netip.Addr) bool {
	for _, m := range others {
		if m.Relay.IsValid() && m.Relay.Addr() == address {
			return true
		}
	}
	return false
}
