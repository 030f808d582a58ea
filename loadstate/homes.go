package loadstate

import (
	"slices"
	"sync/atomic"

	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// homeSlotCount is the number of slots that prefix hashes are divided into. All
// prefixes of one slot have the same home.
const homeSlotCount = 4096

// homes caches the home upstream (see route.Home) of each slot of prefix hashes, so
// that it is computed only once per slot.
type homes struct {
	// hashes are the hashes of the group's upstreams, in its order.
	hashes []uint64
	// slots hold the index of the home plus one; zero means not yet computed.
	slots [homeSlotCount]atomic.Int32
}

func newHomes(ups []*upstream.Upstream) *homes {
	h := &homes{hashes: make([]uint64, len(ups))}
	for i, u := range ups {
		h.hashes[i] = route.HashID(u.ID)
	}
	return h
}

// sameUpstreams reports whether both have the same upstreams in the same order.
func (h *homes) sameUpstreams(other *homes) bool { return slices.Equal(h.hashes, other.hashes) }

// indexFor returns the index of a prefix's home, or -1 if there are no upstreams.
func (h *homes) indexFor(prefix uint64) int {
	slot := prefix % homeSlotCount
	if cached := h.slots[slot].Load(); cached != 0 {
		return int(cached) - 1
	}
	i := route.Home(slot, h.hashes)
	h.slots[slot].Store(int32(i) + 1)
	return i
}
