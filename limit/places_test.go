package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/limit"
)

// Without reports, all VMs together never have more places than there are.
func TestVMsWithoutReportsStayWithinPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, vms := rapid.IntRange(1, 100).Draw(t, "capacity"), rapid.IntRange(1, 300).Draw(t, "VMs")
		now := time.Duration(rapid.IntRange(0, 1<<40).Draw(t, "now"))
		inAll := 0
		for rank := range vms {
			p := limit.Places{Capacity: capacity, VMs: vms, Rank: rank, Offset: 7}
			for n := 0; p.Allow(n, now); n++ {
				inAll++
			}
		}
		if inAll > capacity {
			t.Fatalf("%d requests for %d places", inAll, capacity)
		}
	})
}

// Whatever is reported, no VM exceeds what it has without reports.
func TestReportsOnlyTakePlacesAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := limit.Places{
			Capacity: rapid.IntRange(1, 100).Draw(t, "capacity"), VMs: rapid.IntRange(1, 300).Draw(t, "VMs"),
			Upstreams: rapid.IntRange(1, 50).Draw(t, "upstreams"), Offset: rapid.IntRange(0, 1<<20).Draw(t, "offset"),
		}
		p.Rank = rapid.IntRange(0, p.VMs-1).Draw(t, "rank")
		inFlight := rapid.IntRange(0, 100).Draw(t, "in flight")
		unreported := p.Allow(inFlight, 0)
		p.Reported, p.Others = true, rapid.IntRange(0, 100).Draw(t, "others")
		if p.Allow(inFlight, 0) && !unreported {
			t.Fatal("allowed by the report only")
		}
		if p.Allow(inFlight, 0) && p.Others+inFlight >= p.Capacity {
			t.Fatal("allowed although the upstream is full")
		}
	})
}

func TestEachVMHasPlacesOrTurns(t *testing.T) {
	for _, fleet := range []struct{ vms, upstreams, capacity int }{{6, 3, 6}, {7, 3, 6}, {60, 3, 6}, {82, 24, 6}, {295, 246, 64}} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			g := NewWithT(t)
			for rank := range fleet.vms {
				allowed := 0
				for i := range 200 {
					for u := range fleet.upstreams {
						offset := int(xxhash.Sum64String(fmt.Sprint("upstream-", u)) % uint64(fleet.vms))
						p := limit.Places{Capacity: fleet.capacity, Upstreams: fleet.upstreams, VMs: fleet.vms, Rank: rank, Offset: offset}
						if p.Allow(0, time.Duration(i)*700*time.Millisecond) {
							allowed++
						}
					}
				}
				g.Expect(allowed).To(BeNumerically(">", 0), "VM %d", rank)
			}
		})
	}
}

func TestOneVMUsesMostPlacesByItself(t *testing.T) {
	g := NewWithT(t)
	p := limit.Places{Capacity: 64, VMs: 1}
	n := 0
	for p.Allow(n, 0) {
		n++
	}
	g.Expect(n).To(BeNumerically(">=", 54))
}
