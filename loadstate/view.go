package loadstate

import (
	"time"

	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// group is the fixed part of a view.
type group struct {
	key     Key
	members []member
	byID    map[upstream.ID]int
	homes   *homes
}

type member struct {
	up      *upstream.Upstream
	entry   *entry
	latency time.Duration
	price   money.PerMillion
}

func newGroup(p Placement, key Key, ups []*upstream.Upstream, entryOf func(*upstream.Upstream) *entry) *group {
	g := &group{key: key, byID: make(map[upstream.ID]int, len(ups))}
	for i, u := range ups {
		l := p.Links.Between(p.Region, p.RegionOf(u.Domain))
		g.members = append(g.members, member{up: u, entry: entryOf(u), latency: l.Latency(), price: l.PricePerMB})
		g.byID[u.ID] = i
	}
	g.homes = newHomes(ups)
	return g
}

// View is a group of upstreams at one time. It implements route.Source.
type View struct {
	group *group
	gate  Gate
	now   time.Time
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
	c.Blocks = 0
	c.Open = v.gate != nil && !v.gate.Ready(m.up.ID, c.Ref, v.now)
	m.entry.fill(v.now, c.Ref, c)
}

// Find implements route.Source.
func (v *View) Find(id upstream.ID) (int, bool) {
	i, ok := v.group.byID[id]
	return i, ok
}

// Home returns the upstream on which prompts with this prefix are gathered; empty
// for an empty group.
func (v *View) Home(prefix uint64) upstream.ID {
	i := v.group.homes.of(prefix)
	if i < 0 {
		return ""
	}
	return v.group.members[i].up.ID
}
