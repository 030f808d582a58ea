package engines

import (
	"cmp"
	"slices"

	"github.com/poplarshore/poplarshore/domain"
)

// pools parts upstreams into those that small models prefer and the others, in
// each region alike on all VMs; few upstreams are not parted. In one batch, fast
// models wait for slow ones.
func (d *Directory) pools(allowed []*Engine) map[*Engine]bool {
	byRegion := make(map[domain.Region][]*Engine)
	for _, e := range allowed {
		if !e.Leaving() {
			r := d.opts.RegionOf(e.entry().Domain)
			byRegion[r] = append(byRegion[r], e)
		}
	}
	small := make(map[*Engine]bool)
	for _, engines := range byRegion {
		slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(a.hash, b.hash) })
		n := int(float64(len(engines)) * d.opts.Placement.SmallShare)
		for _, e := range engines[:n] {
			small[e] = true
		}
	}
	return small
}
