package loadstate

import "time"

// A history covers 128 slots of 50 ms, 6.4 s.
const (
	historySlotWidth = 50 * time.Millisecond
	historySlotCount = 128
)

// history is a ring buffer of the values that a count had during the last
// historySlotCount × historySlotWidth. With it, a delayed report can be compared with
// the count at the time the report was taken.
type history struct {
	counts [historySlotCount]int32
	// lastSlot is the slot of the newest count. Slots are numbered by time since the
	// Unix epoch.
	lastSlot int64
	started  bool
}

// set records that the count has the given value from now on.
func (h *history) set(now time.Time, count int) {
	slot := now.UnixNano() / int64(historySlotWidth)
	if !h.started {
		h.started = true
		h.lastSlot = slot
	}
	h.fillTo(slot)
	h.counts[slotIndex(h.lastSlot)] = int32(count)
}

// fillTo copies the newest count to all slots up to and including slot. It does
// nothing for a slot in the past.
func (h *history) fillTo(slot int64) {
	newest := h.counts[slotIndex(h.lastSlot)]
	if slot-h.lastSlot > historySlotCount {
		h.lastSlot = slot - historySlotCount
	}
	for h.lastSlot < slot {
		h.lastSlot++
		h.counts[slotIndex(h.lastSlot)] = newest
	}
}

// at returns the count at a time. Before the covered time it returns the oldest
// known count, after it the newest, and zero if no count was set.
func (h *history) at(t time.Time) int {
	if !h.started {
		return 0
	}
	slot := t.UnixNano() / int64(historySlotWidth)
	slot = min(max(slot, h.lastSlot-historySlotCount+1), h.lastSlot)
	return int(h.counts[slotIndex(slot)])
}

// slotIndex returns the position of a slot in the ring buffer.
func slotIndex(slot int64) int { return int(uint64(slot) % historySlotCount) }
