package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("engine")

var (
	errFull    = namespace.NewType("full")
	errExpired = namespace.NewType("expired")
)

// batch admits a bounded number of running requests; more wait by priority,
// and by arrival within a priority.
type batch struct {
	capacity, maxWaiting int

	mu      sync.Mutex
	running int
	arrived uint64
	queue   waiters
}

type waiter struct {
	priority int
	arrival  uint64
	index    int
	admitted chan struct{}
}

func newBatch(capacity, waiting int) *batch {
	return &batch{capacity: capacity, maxWaiting: waiting}
}

// enter waits for a slot. Errors: errFull, errExpired.
func (b *batch) enter(ctx context.Context, priority int) error {
	w, err := b.admit(priority)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return b.abandon(w)
	}
}

// admit takes a free slot, or returns a waiter for the next one.
func (b *batch) admit(priority int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < b.capacity {
		b.running++
		return nil, nil
	}
	if len(b.queue) >= b.maxWaiting {
		return nil, errFull.New("%d requests wait", len(b.queue))
	}
	b.arrived++
	w := &waiter{priority: priority, arrival: b.arrived, admitted: make(chan struct{})}
	heap.Push(&b.queue, w)
	return w, nil
}

// abandon leaves the queue. A slot given at the same moment is passed on.
func (b *batch) abandon(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)
	} else {
		b.next()
	}
	return errExpired.New("left while waiting")
}

// leave frees a slot.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next()
}

func (b *batch) next() {
	if len(b.queue) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.queue).(*waiter).admitted)
}

func (b *batch) sizes() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.queue)
}

// waiters is a heap: the highest priority first, then the earliest arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = -1
	return last
}
