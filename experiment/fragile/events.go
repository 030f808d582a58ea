package fragile

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at time.Duration
	// number orders events of the same time by when they were added.
	number int
	do     func()
}

// eventQueue holds the events to come. Its zero value is empty.
type eventQueue struct {
	events eventHeap
	added  int
}

// add adds an event.
func (q *eventQueue) add(at time.Duration, do func()) {
	q.added++
	heap.Push(&q.events, event{at: at, number: q.added, do: do})
}

// runUntil runs the events up to a time, in their order.
func (q *eventQueue) runUntil(now time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= now {
		heap.Pop(&q.events).(event).do()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
