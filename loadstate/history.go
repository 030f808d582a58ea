package loadstate

import "time"

const (
	historySlot  = 50 * time.Millisecond
	historySlots = 128
)

// history remembers a count over the last historySlots × historySlot, so that a
// late report can be compared with what was true when it was taken.
type history struct {
	counts [historySlots]int32
	// last is the number of the slot that holds the newest count.
	last    int64
	started bool
}

// set records the count from now on.
func (h *history) set(now time.Time, count int) {
	slot := now.UnixNano() / int64(historySlot)
	if !h.started {
		h.started = true
		h.last = slot
	}
	h.fillTo(slot)
	h.counts[index(h.last)] = int32(count)
}

// fillTo carries the newest count forward to the slot.
func (h *history) fillTo(slot int64) {
	newest := h.counts[index(h.last)]
	if slot-h.last > historySlots {
		h.last = slot - historySlots
	}
	for h.last < slot {
		h.last++
		h.counts[index(h.last)] = newest
	}
}

// at returns the count at a time, or the oldest known one.
func (h *history) at(t time.Time) int {
	if !h.started {
		return 0
	}
	slot := t.UnixNano() / int64(historySlot)
	slot = min(max(slot, h.last-historySlots+1), h.last)
	return int(h.counts[index(slot)])
}

func index(slot int64) int { return int(uint64(slot) % historySlots) }
