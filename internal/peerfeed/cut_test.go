package peerfeed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// lostReadTime is how long a read of the store that is never answered takes.
	lostReadTime = 1200 * time.Millisecond
	// retryPause is the pause of a VM after a failed read.
	retryPause = 900 * time.Millisecond
)

// cutOff makes a VM reach only one other VM, which has no fresh data, or ends that.
func (f *fleet) cutOff(cut bool, one, other vm.ID) {
	f.pollsMu.Lock()
	defer f.pollsMu.Unlock()
	for id := range f.feeds {
		f.lost[id] = cut && id != one && id != other
	}
	f.store.setDown(one, cut)
}

// Guards against VMs that were cut off together and poll each other afterwards, although all others can be reached
// again: the readers that did not answer during the cut are not selected for ReaderBackoff.
func TestVMsCutOffTogetherFollowSoonAfterwards(t *testing.T) {
	for length := 2 * time.Second; length <= 9*time.Second; length += 400 * time.Millisecond {
		for _, id := range []vm.ID{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"} {
			t.Run(fmt.Sprintf("%s %s", id, length), func(t *testing.T) {
				f := newFleet(t, 5)
				f.readAll(t, 1)
				f.clock.Advance(readerSettleTime)
				f.readAll(t, 1)
				order := f.readerFirst()
				fellow := order[len(order)-1]
				if fellow == id {
					fellow = order[0]
				}
				f.store.onLostRead = func() { f.clock.Advance(lostReadTime) }
				f.cutOff(true, id, fellow)
				f.clock.Advance(peerfeed.DefaultOptions().MaxAge)
				ends := f.clock.Now().Add(length)
				f.pollUntil(t, id, func(error) bool { return f.clock.Now().After(ends) })
				f.cutOff(false, id, fellow)
				f.followAll(t, id, fellow)
				f.store.put("b")
				f.pollUntil(t, id, func(err error) bool {
					f.followAll(t, id, fellow)
					return err == nil
				})
				f.Expect(f.clock.Since(ends)).To(BeNumerically("<=", peerfeed.DefaultChangeBound))
			})
		}
	}
}

// pollUntil makes a VM poll, with pauses after failures, until done accepts the outcome.
func (f *fleet) pollUntil(t *testing.T, id vm.ID, done func(error) bool) {
	for {
		_, err := f.feeds[id].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, time.Second)
		if done(err) {
			return
		}
		f.clock.Advance(retryPause)
	}
}

// followAll makes all VMs but the two that were cut off follow the store.
func (f *fleet) followAll(t *testing.T, one, other vm.ID) {
	for range 2 {
		for _, id := range f.readerFirst() {
			if id == one || id == other {
				continue
			}
			_, err := f.feeds[id].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, 0)
			f.Expect(err).NotTo(HaveOccurred())
		}
	}
}
