package environment

import (
	"sync"

	"github.com/poplarshore/poplarshore/vm"
)

// balancer counts the requests in transit: assigned to an entry VM but not yet received by it. A
// planned stop waits until there are none, because the balancer then sends the VM no further requests
// and the VM may refuse new work.
type balancer struct {
	mu           sync.Mutex
	inTransit    map[vm.ID]int
	drainWaiters map[vm.ID]chan struct{}
}

// beginRequest counts a request as in transit to the VM until arrived is called. It must be called once.
func (b *balancer) beginRequest(id vm.ID) (arrived func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inTransit == nil {
		b.inTransit = make(map[vm.ID]int)
	}
	b.inTransit[id]++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inTransit[id]--
		b.closeIfDrained(id)
	}
}

// drained returns a channel that is closed when no request is in transit to the VM. Call it after the
// VM has become not ready: a ready VM may still be selected for further requests.
func (b *balancer) drained(id vm.ID) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drainWaiters == nil {
		b.drainWaiters = make(map[vm.ID]chan struct{})
	}
	b.drainWaiters[id] = make(chan struct{})
	done := b.drainWaiters[id]
	b.closeIfDrained(id)
	return done
}

// closeIfDrained closes the channel that drained returned for the VM if no request is in transit. The
// caller holds mu.
func (b *balancer) closeIfDrained(id vm.ID) {
	if done := b.drainWaiters[id]; done != nil && b.inTransit[id] == 0 {
		close(done)
		delete(b.drainWaiters, id)
	}
}
