package peerfeed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// TestReaderIsReadThoughAnswersAreSlowerThanFirstTimeout guards against a VM behind a full link that
// gives up each poll of a reader too early and sends requests by an old list for seconds. It has
// no way to the store.
func TestReaderIsReadThoughAnswersAreSlowerThanFirstTimeout(t *testing.T) {
	f := newFleet(t, 5)
	order := f.readerFirst()
	reader, slow := f.feeds[order[0]], f.feeds[order[1]]
	f.store.put("b")
	f.store.setDown(order[1], true)
	f.pollsMu.Lock()
	f.delay = 600 * time.Millisecond
	f.pollsMu.Unlock()
	var b watch.Batch
	var err error
	for range 3 {
		_, readErr := reader.Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0)
		f.Expect(readErr).NotTo(HaveOccurred())
		if b, err = slow.Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0); err == nil {
			break
		}
		f.clock.Advance(peerfeed.DefaultOptions().ReaderBackoff)
	}
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(b.Rows).To(HaveLen(1))
}
