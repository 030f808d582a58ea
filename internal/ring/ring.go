// Package ring joins goroutines by bounded queues that count what they refuse.
package ring

import "sync/atomic"

// Ring is a bounded queue between duties.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds the item without waiting; false tells that the ring was full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Refused returns the number of items refused since the start.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
