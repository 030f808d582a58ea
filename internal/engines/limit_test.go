package engines_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
)

// sendThrough sends a request through a VM if it finds an upstream, and reports to which.
func sendThrough(d *engines.Directory) string {
	choice := d.Choose(engines.Requirements{Service: "s"})
	if choice.Engine == nil {
		return ""
	}
	a := choice.Engine.Begin(0)
	if a == nil {
		return ""
	}
	a.MarkReceived()
	a.End(engines.Result{Took: time.Millisecond})
	return string(choice.Engine.ID())
}

// Each VM by itself is under the limit, but all together must be, too. Some VMs start
// while the limit is in force, and know it from another VM or from their first answer.
func TestVMsTogetherKeepLimitOfUpstream(t *testing.T) {
	const perSecond, span = 3.5, 4 * time.Second
	for _, vms := range []int{1, 6, 60, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			rng := rand.New(rand.NewPCG(1, uint64(vms)))
			directories := make([]*engines.Directory, vms)
			for i := range directories {
				directories[i] = newDirectoryOf(clock, i, vms)
				directories[i].Replace([]engines.Entry{newEntry("limited", "d1")})
				find(directories[i], "limited").SetRequestLimit(perSecond, clock.Now())
			}
			var sent []time.Time
			for range 200 {
				clock.Advance(50 * time.Millisecond)
				for range 20 {
					// Half of the requests come through a tenth of the VMs.
					n := vms
					if rng.IntN(2) == 0 {
						n = max(vms/10, 1)
					}
					if sendThrough(directories[rng.IntN(n)]) != "" {
						sent = append(sent, clock.Now())
					}
				}
			}
			most, oldest := 0, 0
			for i, at := range sent {
				for at.Sub(sent[oldest]) > span {
					oldest++
				}
				most = max(most, i-oldest+1)
			}
			g.Expect(most).To(And(BeNumerically(">", 2), BeNumerically("<=", 1.5*perSecond*span.Seconds()+5)))
		})
	}
}

func TestRequestsBeyondLimitGoToOtherUpstreams(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("limited", "d1"), newEntry("far", "d2")})
	find(d, "limited").SetRequestLimit(2, clock.Now())
	counts := make(map[string]int)
	for range 50 {
		counts[sendThrough(d)]++
	}
	g.Expect(counts["limited"]).To(BeNumerically("<=", 4))
	g.Expect(counts["far"]).To(Equal(50 - counts["limited"]))
}

func TestLimitOfAllUpstreamsTellsWhenToReturn(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("limited", "d1")})
	find(d, "limited").SetRequestLimit(2, clock.Now())
	for sendThrough(d) != "" {
	}
	choice := d.Choose(engines.Requirements{Service: "s"})
	g.Expect(choice.Engine).To(BeNil())
	g.Expect(choice.LimitLeft).To(And(BeNumerically(">", 0), BeNumerically("<=", 500*time.Millisecond)))
}

func TestUpstreamWithoutLimitAnyMoreGetsAllRequests(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("limited", "d1")})
	find(d, "limited").SetRequestLimit(2, clock.Now())
	for sendThrough(d) != "" {
	}
	find(d, "limited").SetRequestLimit(0, clock.Now())
	for range 50 {
		g.Expect(sendThrough(d)).To(Equal("limited"))
	}
}

func TestRequestChosenBeforeLimitWasUsedIsNotSent(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("limited", "d1")})
	find(d, "limited").SetRequestLimit(2, clock.Now())
	chosen := d.Choose(engines.Requirements{Service: "s"}).Engine
	for sendThrough(d) != "" {
	}
	g.Expect(chosen.Begin(0)).To(BeNil())
}

// The head of an answer may arrive after that of a request which was sent later.
func TestAnswerToEarlierRequestDoesNotEndLimit(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("limited", "d1")})
	earlier := clock.Now()
	clock.Advance(100 * time.Millisecond)
	find(d, "limited").SetRequestLimit(2, clock.Now())
	clock.Advance(10 * time.Millisecond)
	find(d, "limited").SetRequestLimit(0, earlier)
	sent := 0
	for sendThrough(d) != "" && sent < 50 {
		sent++
	}
	g.Expect(sent).To(BeNumerically("<=", 4))
	find(d, "limited").SetRequestLimit(0, clock.Now())
	g.Expect(sendThrough(d)).To(Equal("limited"))
}
