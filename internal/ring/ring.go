// Package ring provides bounded queues between goroutines, which reject items while
// they are full and count the rejected items.
package ring

import "sync/atomic"

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns an empty ring for at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds the item without blocking. If the ring is full, it rejects and counts
// the item and returns false.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel to receive items from. It is never closed.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Refused returns the number of items rejected since New.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
