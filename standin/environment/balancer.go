package environment

import (
	"sync"

	"github.com/poplarshore/poplarshore/vm"
)

// balancer counts the requests that were sent to an entry VM and have not
// arrived, so that a planned stop can tell when the balancer has noticed.
type balancer struct {
	mu      sync.Mutex
	sending map[vm.ID]int
	waiting map[vm.ID]chan struct{}
}

// begin counts a request until the function returned is called.
func (b *balancer) begin(id vm.ID) (arrived func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sending == nil {
		b.sending = make(map[vm.ID]int)
	}
	b.sending[id]++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.sending[id]--
		b.signal(id)
	}
}

// drained returns a channel that is closed once no request is under way to the
// VM. The VM must not be ready any more, or it may be chosen again.
func (b *balancer) drained(id vm.ID) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = make(map[vm.ID]chan struct{})
	}
	b.waiting[id] = make(chan struct{})
	done := b.waiting[id]
	b.signal(id)
	return done
}

func (b *balancer) signal(id vm.ID) {
	if done := b.waiting[id]; done != nil && b.sending[id] == 0 {
		close(done)
		delete(b.waiting, id)
	}
}
