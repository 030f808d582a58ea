package experiment

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their virtual time.
type loop struct {
	now    time.Duration
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

// after runs f when d has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + max(d, 0), seq: l.seq, run: f})
}

// every runs f each interval, the first time after offset.
func (l *loop) every(offset, interval time.Duration, f func()) {
	l.after(offset, func() {
		f()
		l.every(interval, interval, f)
	})
}

// run handles events until the time is over.
func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = until
}

// epoch is the wall-clock time at the start of a loop.
var epoch = time.Unix(1_800_000_000, 0)

// time returns the virtual wall-clock time.
func (l *loop) time() time.Time { return epoch.Add(l.now) }
