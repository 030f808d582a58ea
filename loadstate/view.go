package loadstate

import (
	"time"

	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// group is the set of upstreams for one key. It does not change; a new configuration
// creates a new one.
type group struct {
	key     Key
	members []member
	// byID maps upstreams to their index in members.
	byID  map[upstream.ID]int
	homes *homes
}

// member is an upstream of a group with its state and its link.
type member struct {
	up    *upstream.Upstream
	entry *entry
	// latency is the one-way latency of the link to the upstream's region.
	latency time.Duration
	// price is the price of one million bytes on that link, in micros.
	price money.PerMillion
}

// newGroup returns the group of the upstreams; entryOf returns their entries.
func newGroup(p GroupConfig, key Key, ups []*upstream.Upstream, entryOf func(*upstream.Upstream) *entry) *group {
	g := &group{key: key, byID: make(map[upstream.ID]int, len(ups))}
	for i, u := range ups {
		l := p.Links.Between(p.Region, p.RegionOf(u.Domain))
		g.members = append(g.members, member{up: u, entry: entryOf(u), latency: l.Latency(), price: l.PricePerMB})
		g.byID[u.ID] = i
	}
	g.homes = newHomes(ups)
	return g
}

// View is a group of upstreams at a point in time. It implements route.Source. Loads
// are read when Fill is called; the group and the time are fixed.
type View struct {
	group    *group
	breakers Breakers
	now      time.Time
}

var _ route.Source = (*View)(nil)

// Len implements route.Source.
func (v *View) Len() int { return len(v.group.members) }

// Fill implements route.Source.
func (v *View) Fill(i int, c *route.Candidate) {
	m := &v.group.members[i]
	c.Upstream = m.up
	c.Ref = v.group.key.Ref
	c.LinkLatency = m.latency
	c.PricePerMB = m.price
	c.CachedBlocks = 0
	c.BreakerOpen = v.breakers != nil && !v.breakers.Ready(m.up.ID, c.Ref, v.now)
	m.entry.fill(v.now, c.Ref, c)
}

// Find implements route.Source.
func (v *View) Find(id upstream.ID) (int, bool) {
	i, ok := v.group.byID[id]
	return i, ok
}

// Home returns the upstream on which prompts with this prefix are concentrated while
// no cache is known to have it; empty for an empty group.
func (v *View) Home(prefix uint64) upstream.ID {
	i := v.group.homes.indexFor(prefix)
	if i < 0 {
		return ""
	}
	return v.group.members[i].up.ID
}
