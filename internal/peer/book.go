// Package peer carries the messages between entry VMs: HTTP with JSON, shown a
// shared token on each call.
package peer

import (
	"slices"
	"sync"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/vm"
)

// Book knows the addresses of the other entry VMs.
type Book struct {
	self vm.ID

	mu        sync.RWMutex
	addresses map[vm.ID]string
	order     []revision.NodeID
}

// NewBook returns a book that knows only this VM.
func NewBook(self vm.ID) *Book {
	return &Book{self: self, addresses: make(map[vm.ID]string)}
}

// Set replaces the addresses, given as host:port, of all live VMs.
func (b *Book) Set(addresses map[vm.ID]string) {
	order := make([]revision.NodeID, 0, len(addresses))
	for id := range addresses {
		if id != b.self {
			order = append(order, revision.NodeID(id))
		}
	}
	slices.Sort(order)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses, b.order = addresses, order
}

// Address returns the address of a VM.
func (b *Book) Address(id vm.ID) (string, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	address, ok := b.addresses[id]
	return address, ok
}

// Others returns the other live VMs in a stable order. The slice is shared.
func (b *Book) Others() []revision.NodeID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.order
}

// All returns every live VM, this one included.
func (b *Book) All() []vm.ID {
	others := b.Others()
	all := make([]vm.ID, 0, len(others)+1)
	all = append(all, b.self)
	for _, id := range others {
		all = append(all, vm.ID(id))
	}
	return all
}
