package peerfeed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

// confirmEvery makes the reader poll once a second for the given time.
func (f *fleet) confirmEvery(t *testing.T, reader vm.ID, span time.Duration) {
	for range span / time.Second {
		_, err := f.feeds[reader].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0)
		f.Expect(err).NotTo(HaveOccurred())
		f.clock.Advance(time.Second)
	}
}

// TestReaderTellsForHowLongStoreHasAnswered guards against VMs that can't tell a cut of their own from
// an outage of the store: an outage, or a pause of the reader, begins the time anew.
func TestReaderTellsForHowLongStoreHasAnswered(t *testing.T) {
	f := newFleet(t, 5)
	order := f.readerFirst()
	reader, follower := order[0], order[1]
	storeUp := func() time.Duration {
		_, err := f.feeds[reader].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0)
		f.Expect(err).NotTo(HaveOccurred())
		b, err := f.feeds[follower].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0)
		f.Expect(err).NotTo(HaveOccurred())
		return b.StoreUp
	}
	f.confirmEvery(t, reader, 8*time.Second)
	f.Expect(storeUp()).To(Equal(8 * time.Second))

	f.store.setDown(reader, true)
	_, err := f.feeds[reader].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0)
	f.Expect(err).To(HaveOccurred())
	f.store.setDown(reader, false)
	f.clock.Advance(peerfeed.DefaultOptions().StoreRetryDelay)
	f.confirmEvery(t, reader, 3*time.Second)
	f.Expect(storeUp()).To(Equal(3*time.Second), "since the outage")

	f.clock.Advance(10 * time.Second)
	f.confirmEvery(t, reader, 2*time.Second)
	f.Expect(storeUp()).To(Equal(2*time.Second), "since the pause of the reader")
}
