package fleet

import (
	"container/heap"
	"time"
)

// Loop is a discrete-event loop. It runs events in the order of their virtual
// time, and events of the same time in the order in which they were added.
type Loop struct {
	// Now is the virtual time since the start.
	Now time.Duration
	// seq numbers the events, to order those of the same time.
	seq    int
	events eventHeap
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// After schedules run after the delay. A negative delay counts as zero.
func (l *Loop) After(delay time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.Now + max(delay, 0), seq: l.seq, run: run})
}

// Every schedules run once per interval, for the first time after offset.
func (l *Loop) Every(offset, interval time.Duration, run func()) {
	l.After(offset, func() {
		run()
		l.Every(interval, interval, run)
	})
}

// Run runs all events up to and including the virtual time until, then sets Now
// to it. Later events remain scheduled.
func (l *Loop) Run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = until
}

// Epoch is the wall-clock time at the start of every loop.
var Epoch = time.Unix(1_800_000_000, 0)

// Time returns the virtual time as a wall-clock time that starts at Epoch.
func (l *Loop) Time() time.Time { return Epoch.Add(l.Now) }
