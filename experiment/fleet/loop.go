package fleet

import (
	"container/heap"
	"time"
)

// Loop runs events in the order of their virtual time.
type Loop struct {
	// Now is the virtual time since the start.
	Now    time.Duration
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

// After runs f when d has passed.
func (l *Loop) After(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.Now + max(d, 0), seq: l.seq, run: f})
}

// Every runs f each interval, the first time after offset.
func (l *Loop) Every(offset, interval time.Duration, f func()) {
	l.After(offset, func() {
		f()
		l.Every(interval, interval, f)
	})
}

// Run handles events until the time is over.
func (l *Loop) Run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = until
}

// Epoch is the wall-clock time at the start of a loop.
var Epoch = time.Unix(1_800_000_000, 0)

// Time returns the virtual wall-clock time.
func (l *Loop) Time() time.Time { return Epoch.Add(l.Now) }
