package retry

import "time"

const windowSlots = 10

// window counts outcomes over the last windowSlots × slot.
type window struct {
	slot time.Duration
	// first is the number of the newest slot.
	newest int64
	counts [windowSlots]outcomes
}

type outcomes struct {
	good, bad int
}

func (w *window) add(good bool, now time.Time) {
	w.advance(now)
	c := &w.counts[w.newest%windowSlots]
	if good {
		c.good++
	} else {
		c.bad++
	}
}

// advance empties the slots that have left the window.
func (w *window) advance(now time.Time) {
	at := now.UnixNano() / int64(w.slot)
	if at-w.newest >= windowSlots {
		w.counts = [windowSlots]outcomes{}
		w.newest = at
	}
	for w.newest < at {
		w.newest++
		w.counts[w.newest%windowSlots] = outcomes{}
	}
}

func (w *window) sum(now time.Time) outcomes {
	w.advance(now)
	var s outcomes
	for _, c := range w.counts {
		s.good += c.good
		s.bad += c.bad
	}
	return s
}

func (w *window) clear() { w.counts = [windowSlots]outcomes{} }
