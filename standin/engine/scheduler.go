package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("engine")

var (
	// errQueueFull reports that the maximum number of requests is waiting.
	errQueueFull = namespace.NewType("full")
	// errWaitCancelled reports that the context ended before a slot became free.
	errWaitCancelled = namespace.NewType("expired")
)

// scheduler limits how many requests run at the same time and how many wait for a slot.
// Slots go to the waiting request of the highest priority, and to the earliest arrival
// among requests of the same priority.
type scheduler struct {
	capacity, maxWaiting int

	mu      sync.Mutex
	running int
	// lastArrival is the arrival number of the newest waiter.
	lastArrival uint64
	queue       waitQueue
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	// arrival is the position in the order of arrival.
	arrival uint64
	// index is the position in the heap; -1 once the waiter has left it.
	index int
	// admitted is closed when the waiter has been given a slot.
	admitted chan struct{}
}

func newScheduler(capacity, maxWaiting int) *scheduler {
	return &scheduler{capacity: capacity, maxWaiting: maxWaiting}
}

// acquire reserves a slot and waits for one if none is free. The caller must call
// release. Errors: errQueueFull, errWaitCancelled.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	w, err := s.acquireOrEnqueue(priority)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return s.cancelWait(w)
	}
}

// acquireOrEnqueue reserves a free slot and returns nil, or enqueues and returns a waiter.
func (s *scheduler) acquireOrEnqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.capacity {
		s.running++
		return nil, nil
	}
	if len(s.queue) >= s.maxWaiting {
		return nil, errQueueFull.New("%d requests wait", len(s.queue))
	}
	s.lastArrival++
	w := &waiter{priority: priority, arrival: s.lastArrival, admitted: make(chan struct{})}
	heap.Push(&s.queue, w)
	return w, nil
}

// cancelWait removes the waiter from the queue. If it has been given a slot in the
// meantime, that slot is released.
func (s *scheduler) cancelWait(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
	} else {
		s.grantNext()
	}
	return errWaitCancelled.New("left while waiting")
}

// release frees a slot.
func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

// grantNext gives a freed slot to the first waiter. The caller holds mu.
func (s *scheduler) grantNext() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	close(heap.Pop(&s.queue).(*waiter).admitted)
}

// occupancy returns the numbers of running and of waiting requests.
func (s *scheduler) occupancy() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}

// waitQueue implements heap.Interface: the highest priority first, then the earliest
// arrival.
type waitQueue []*waiter

func (w waitQueue) Len() int { return len(w) }

func (w waitQueue) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waitQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waitQueue) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waitQueue) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = -1
	return last
}
