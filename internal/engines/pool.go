package engines

import (
	"cmp"
	"slices"

	"github.com/poplarshore/poplarshore/domain"
)

// smallModelPool returns the upstreams that are preferred for small models.
// Small and large models are kept apart because in a shared batch fast models
// wait for slow ones. The pool is a fixed share of each region's upstreams and
// is the same on all VMs. It is empty where there are too few upstreams for that
// share.
func (d *Directory) smallModelPool(usable []*Engine) map[*Engine]bool {
	byRegion := make(map[domain.Region][]*Engine)
	for _, e := range usable {
		if !e.Leaving() {
			r := d.opts.RegionOf(e.entry().Domain)
			byRegion[r] = append(byRegion[r], e)
		}
	}
	small := make(map[*Engine]bool)
	for _, engines := range byRegion {
		slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(a.hash, b.hash) })
		n := int(float64(len(engines)) * d.opts.Placement.SmallModelShare)
		for _, e := range engines[:n] {
			small[e] = true
		}
	}
	return small
}
