// Package peer implements the protocol between entry VMs: JSON over HTTP, with a
// shared bearer token in each request.
package peer

import (
	"slices"
	"sync"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/vm"
)

// Book is the address book of the live entry VMs. It is safe for concurrent use.
type Book struct {
	self vm.ID

	mu        sync.RWMutex
	addresses map[vm.ID]string
	// others lists the other VMs, sorted by ID.
	others []revision.NodeID
}

// NewBook returns a book that lists only the VM self.
func NewBook(self vm.ID) *Book {
	return &Book{self: self, addresses: make(map[vm.ID]string)}
}

// Set replaces the addresses (host:port) of all live VMs. The book keeps the map.
func (b *Book) Set(addresses map[vm.ID]string) {
	others := make([]revision.NodeID, 0, len(addresses))
	for id := range addresses {
		if id != b.self {
			others = append(others, revision.NodeID(id))
		}
	}
	slices.Sort(others)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses, b.others = addresses, others
}

// Address returns the address of a VM; false means that the VM is not in the book.
func (b *Book) Address(id vm.ID) (string, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	address, ok := b.addresses[id]
	return address, ok
}

// Others returns the other live VMs, sorted by ID. The slice is shared: callers
// must not change it.
func (b *Book) Others() []revision.NodeID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.others
}

// All returns all live VMs, this one first.
func (b *Book) All() []vm.ID {
	others := b.Others()
	all := make([]vm.ID, 0, len(others)+1)
	all = append(all, b.self)
	for _, id := range others {
		all = append(all, vm.ID(id))
	}
	return all
}
