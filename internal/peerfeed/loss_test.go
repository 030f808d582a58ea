package peerfeed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

// lose makes the VMs of a failure domain answer nothing and poll nobody, or ends that.
func (f *fleet) lose(lost bool, of domain.ID, domainOf func(int) domain.ID) {
	f.pollsMu.Lock()
	defer f.pollsMu.Unlock()
	for i := range len(f.feeds) {
		if domainOf(i) == of {
			f.lost[vm.ID(fmt.Sprintf("vm-%d", i))] = lost
		}
	}
}

// TestLossOfRegionLeavesReadsOfTheRestWorking loses each region in turn, that of the fleet's
// reader among them. It guards against VMs that wait for a reader of the lost region, and against
// VMs that stay behind once it is back.
func TestLossOfRegionLeavesReadsOfTheRestWorking(t *testing.T) {
	const vms, regions = 12, 3
	domainOf := func(i int) domain.ID { return domain.ID(fmt.Sprintf("d%d", i%regions)) }
	for region := range regions {
		t.Run(fmt.Sprint(region), func(t *testing.T) {
			f := startFleetIn(t, vms, 0, domainOf)
			calm := f.settledReaders(t, 1)
			lost := domainOf(region)
			f.lose(true, lost, domainOf)
			f.clock.Advance(time.Second)
			f.store.put("b")
			got, _ := f.readAll(t, 1)
			f.Expect(got).To(HaveLen(vms - vms/regions))
			for id, b := range got {
				f.Expect(b.At).To(BeEquivalentTo(2), string(id))
			}
			f.lose(false, lost, domainOf)
			f.store.put("c")
			f.clock.Advance(peerfeed.DefaultOptions().ReaderBackoff)
			got, _ = f.readAll(t, 1)
			f.Expect(got).To(HaveLen(vms))
			for id, b := range got {
				f.Expect(b.At).To(BeEquivalentTo(3), string(id))
			}
			f.Expect(f.settledReaders(t, 3)).To(BeNumerically("<=", calm), "reads are shared again")
		})
	}
}

// settledReaders returns the number of VMs that read the store once the readers don't change any
// more.
func (f *fleet) settledReaders(t *testing.T, after watch.Revision) int {
	var readers []vm.ID
	for range 4 {
		f.clock.Advance(readerSettleTime)
		_, readers = f.readAll(t, after)
	}
	return len(readers)
}

// TestVMStartsWithoutItsSeeds guards against a VM that does not start, or starts without rows,
// because the failure domain of its seeds is lost.
func TestVMStartsWithoutItsSeeds(t *testing.T) {
	f := startFleet(t, 3, time.Hour)
	f.lost["vm-0"] = true
	for _, id := range []vm.ID{"vm-1", "vm-2"} {
		b, err := f.feeds[id].List(t.Context(), "t")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(b.Rows).To(HaveLen(1))
		b, err = f.feeds[id].Changes(t.Context(), "t", watch.Cursor{Revision: 1}, time.Second)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(b.At).To(BeEquivalentTo(1))
	}
}
