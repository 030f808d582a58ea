package peerfeed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// Guards against a VM that reads the store more often than StoreRetryDelay allows while neither the store nor any
// other VM answers it: each reader that is tried again must not be followed by a read of the store.
func TestVMThatReachesNobodyKeepsStoreRetryDelay(t *testing.T) {
	const length = 40 * time.Second
	f := newFleet(t, 6)
	f.readAll(t, 1)
	f.clock.Advance(readerSettleTime)
	f.readAll(t, 1)
	alone := f.readerFirst()[5]
	f.cutOff(true, alone, alone)
	for range length / time.Second {
		f.clock.Advance(time.Second)
		_, _ = f.feeds[alone].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, time.Second)
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	// Until all other VMs are in backoff for the first time, each poll reads the store.
	f.Expect(f.store.reads[alone]).To(BeNumerically("<=", int(length/peerfeed.DefaultOptions().StoreRetryDelay)+5))
}

// TestLostConnectionIsNoFailureOfTheStore guards against a VM that doesn't read the store for StoreRetryDelay, although it
// answers, because an unused connection had been lost.
func TestLostConnectionIsNoFailureOfTheStore(t *testing.T) {
	f := newFleet(t, 1)
	feed := f.feeds["vm-0"]
	f.store.put("b")
	f.store.loseConnections("vm-0")
	b, err := feed.Changes(t.Context(), "t", watch.Cursor{Revision: 1}, time.Second)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(b.At).To(BeEquivalentTo(2))
	f.store.loseConnections("vm-0")
	b, err = feed.List(t.Context(), "t")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(b.Rows).To(HaveLen(2))
}
