package engines_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
)

// fill sends requests through a VM until it finds no upstream, and returns their number.
func fill(d *engines.Directory) int {
	for n := 0; ; n++ {
		choice := d.Choose(engines.Requirements{Service: "s"})
		if choice.Engine == nil || n > 1000 {
			return n
		}
		choice.Engine.Begin(0)
	}
}

// All VMs fill fragile upstreams as far as they may, without knowing of each other.
func TestVMsTogetherDontFillFragileUpstreams(t *testing.T) {
	for _, vms := range []int{1, 6, 60, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			// In the middle of a turn.
			clock := clockwork.NewFakeClockAt(time.Unix(1000, int64(500*time.Millisecond)))
			inAll, upstreams := 0, []engines.Entry{newEntry("a", "d1"), newEntry("b", "d1"), newEntry("c", "d2")}
			for rank := range vms {
				d := newDirectoryOf(clock, rank, vms)
				d.Replace(upstreams)
				find(d, "a").SetFragile(true, clock.Now())
				inAll += fill(d)
			}
			g.Expect(inAll).To(And(BeNumerically(">", 0), BeNumerically("<=", 30)))
		})
	}
}

func TestFragilityEndsWithALaterAnswer(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d1")})
	sentAt := clock.Now()
	clock.Advance(time.Second)
	find(d, "a").SetFragile(true, clock.Now())
	g.Expect(d.IsFragile("s")).To(BeTrue())
	find(d, "b").SetFragile(false, sentAt)
	g.Expect(d.IsFragile("s")).To(BeTrue(), "an answer to an earlier request")
	clock.Advance(time.Second)
	find(d, "b").SetFragile(false, clock.Now())
	g.Expect(d.IsFragile("s")).To(BeFalse())
}

func TestFragileUpstreamThatRejectedIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1")})
	find(d, "a").MarkRejected()
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"), "it is not fragile")
	d.SetFragile("a", true)
	find(d, "a").MarkRejected()
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEmpty())
	clock.Advance(time.Second)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"))
	d.MarkRejected("a")
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEmpty(), "another VM's request was rejected")
}

func TestFragilityIsForgottenIfNothingTellsOfIt(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1")})
	d.SetFragile("a", true)
	clock.Advance(time.Minute)
	g.Expect(d.IsFragile("s")).To(BeFalse())
}
