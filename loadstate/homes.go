package loadstate

import (
	"slices"
	"sync/atomic"

	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

const homeSlots = 4096

// homes remembers the home of each slot of prefixes, so that it is searched for
// only once.
type homes struct {
	hashes []uint64
	// slots hold an index plus one; zero is not yet known.
	slots [homeSlots]atomic.Int32
}

func newHomes(ups []*upstream.Upstream) *homes {
	h := &homes{hashes: make([]uint64, len(ups))}
	for i, u := range ups {
		h.hashes[i] = route.HashID(u.ID)
	}
	return h
}

// same tells whether both are over the same upstreams in the same order.
func (h *homes) same(other *homes) bool { return slices.Equal(h.hashes, other.hashes) }

// of returns the index of a prefix's home, or -1 if there is none.
func (h *homes) of(prefix uint64) int {
	slot := prefix % homeSlots
	if known := h.slots[slot].Load(); known != 0 {
		return int(known) - 1
	}
	i := route.Home(slot, h.hashes)
	h.slots[slot].Store(int32(i) + 1)
	return i
}
