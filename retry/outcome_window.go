package retry

import "time"

// outcomeWindowSlots is the number of slots of an outcomeWindow.
const outcomeWindowSlots = 10

// outcomeWindow counts outcomes over the last outcomeWindowSlots × slotDuration.
type outcomeWindow struct {
	slotDuration time.Duration
	// newestSlot is the number of the newest slot, counted from the Unix epoch.
	newestSlot int64
	counts     [outcomeWindowSlots]outcomeCounts
}

type outcomeCounts struct {
	successes, failures int
}

func (w *outcomeWindow) add(success bool, now time.Time) {
	w.advance(now)
	c := &w.counts[w.newestSlot%outcomeWindowSlots]
	if success {
		c.successes++
	} else {
		c.failures++
	}
}

// advance clears the slots that have left the window.
func (w *outcomeWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.slotDuration)
	if slot-w.newestSlot >= outcomeWindowSlots {
		w.counts = [outcomeWindowSlots]outcomeCounts{}
		w.newestSlot = slot
	}
	for w.newestSlot < slot {
		w.newestSlot++
		w.counts[w.newestSlot%outcomeWindowSlots] = outcomeCounts{}
	}
}

func (w *outcomeWindow) sum(now time.Time) outcomeCounts {
	w.advance(now)
	var s outcomeCounts
	for _, c := range w.counts {
		s.successes += c.successes
		s.failures += c.failures
	}
	return s
}

func (w *outcomeWindow) clear() { w.counts = [outcomeWindowSlots]outcomeCounts{} }
