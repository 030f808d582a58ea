package peerfeed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// TestReaderWhoseConnectionWasLostIsPolledAgainSoon guards against VMs that read the store for ReaderBackoff instead of a
// sound reader.
func TestReaderWhoseConnectionWasLostIsPolledAgainSoon(t *testing.T) {
	f := newFleet(t, 5)
	f.readAll(t, 1)
	f.loseConnections()
	for _, id := range f.readerFirst()[1:] {
		// The poll waits for its timeout.
		_, _ = f.feeds[id].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, time.Second)
	}
	f.clock.Advance(peerfeed.DefaultOptions().StaleReaderBackoff + readerSettleTime)
	f.readAll(t, 1)
	_, readers := f.readAll(t, 1)
	f.Expect(readers).To(HaveLen(1), "one VM reads the store for all")
}
