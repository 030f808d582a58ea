package engines_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

const coldLength, coldRate = 3 * time.Second, 15.0

// coldVM is a VM of a fleet whose service limits requests to cold upstreams.
type coldVM struct {
	*engines.Directory
	clockKnown, vmsKnown bool
	// announced holds what the VM announced.
	announced []time.Duration
}

// unsureClock is the shared clock of a VM that may not know it.
type unsureClock struct {
	sharedClock
	vm *coldVM
}

// Now implements engines.Clock.
func (c unsureClock) Now() (time.Duration, bool) {
	now, _ := c.sharedClock.Now()
	return now, c.vm.clockKnown
}

func newColdVM(clock *clockwork.FakeClock, rank, vms int) *coldVM {
	v := &coldVM{clockKnown: true, vmsKnown: true}
	v.Directory = engines.New(engines.Options{
		SharedClock: unsureClock{sharedClock{clock}, v}, Rank: func() (int, int) { return rank, vms },
		VMsKnown: func() bool { return v.vmsKnown }, ColdBound: engines.ColdBound{Overrun: 1.5, Slack: 5},
		OnCold: func(_ upstream.Upstream, d time.Duration) { v.announced = append(v.announced, d) },
		Region: "r1", Domain: "d1", ReregistrationGrace: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: func(id domain.ID) domain.Region { return domain.Region("r" + string(id[1:])) },
		Registry: prometheus.NewRegistry(),
	}, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	v.SetColdStart("s", engines.ColdStart{For: coldLength, PerSecond: coldRate})
	return v
}

// newSettledVM returns the only VM, which has known the list of VMs for long and uses the
// upstreams "a" and "b", which are not cold.
func newSettledVM() (*coldVM, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	v := newColdVM(clock, 0, 1)
	v.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d2")})
	v.settle(clock)
	return v, clock
}

// settle lets the VM know the list of VMs for long.
func (v *coldVM) settle(clock *clockwork.FakeClock) {
	v.ExpireLapsed()
	clock.Advance(10 * time.Second)
}

// coldEntry returns an entry that says that the upstream is cold.
func coldEntry(id, failureDomain string) engines.Entry {
	e := newEntry(id, failureDomain)
	e.ColdFor = coldLength
	return e
}

// burst sends requests until none finds an upstream, at most 100, and counts those to each.
func (v *coldVM) burst() map[string]int {
	counts := make(map[string]int)
	for range 100 {
		id := sendThrough(v.Directory)
		if id == "" {
			break
		}
		counts[id]++
	}
	return counts
}

// sendTo sends an upstream as many requests as it may get, at most 100, and returns their
// number.
func (v *coldVM) sendTo(id upstream.ID) int {
	for n := range 100 {
		a := find(v.Directory, id).Begin(0)
		if a == nil {
			return n
		}
		a.MarkReceived()
		a.End(engines.Result{Took: time.Millisecond})
	}
	return 100
}

// TestVMsTogetherKeepRateOfColdUpstream guards against an upstream that ends because each VM
// sends it a few requests at once when it is back.
func TestVMsTogetherKeepRateOfColdUpstream(t *testing.T) {
	for _, vms := range []int{1, 6, 82, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
			rng := rand.New(rand.NewPCG(1, uint64(vms)))
			fleet := make([]*coldVM, vms)
			for i := range fleet {
				fleet[i] = newColdVM(clock, i, vms)
				fleet[i].Replace(nil)
				fleet[i].settle(clock)
			}
			for _, v := range fleet {
				v.Put(newEntry("back", "d1"))
			}
			var sent []time.Time
			for len(sent) == 0 || clock.Since(sent[0]) < coldLength-50*time.Millisecond {
				clock.Advance(50 * time.Millisecond)
				for range 100 {
					if sendThrough(fleet[rng.IntN(max(vms/(1+rng.IntN(5)), 1))].Directory) != "" {
						sent = append(sent, clock.Now())
					}
				}
			}
			most, oldest := 0, 0
			for i, at := range sent {
				for at.Sub(sent[oldest]) >= time.Second {
					oldest++
				}
				most = max(most, i-oldest+1)
			}
			g.Expect(most).To(And(BeNumerically(">", 8), BeNumerically("<=", 1.5*coldRate+5)))
		})
	}
}

func TestRequestsBeyondRateOfColdUpstreamGoToOthers(t *testing.T) {
	g := NewWithT(t)
	v, _ := newSettledVM()
	v.MarkCold("a", coldLength)
	counts := v.burst()
	g.Expect(counts["a"]).To(BeNumerically("<=", 8))
	g.Expect(counts["b"]).To(Equal(100 - counts["a"]))
}

func TestColdUpstreamsOnlyTellWhenToReturn(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	v.MarkCold("a", coldLength)
	v.MarkCold("b", coldLength)
	v.burst()
	choice := v.Choose(engines.Requirements{Service: "s"})
	g.Expect(choice.Engine).To(BeNil())
	g.Expect(choice.Refused[route.Cold]).To(Equal(2))
	g.Expect(choice.ColdLeft).To(And(BeNumerically(">", 0), BeNumerically("<=", 70*time.Millisecond)))
	clock.Advance(coldLength)
	g.Expect(v.sendTo("a") + v.sendTo("b")).To(Equal(200))
}

func TestRequestChosenBeforeGrantWasUsedIsNotSent(t *testing.T) {
	g := NewWithT(t)
	v, _ := newSettledVM()
	v.Remove("b")
	v.MarkCold("a", coldLength)
	chosen := v.Choose(engines.Requirements{Service: "s"}).Engine
	v.burst()
	g.Expect(chosen.Begin(0)).To(BeNil())
}

// TestUpstreamThatTurnsColdInABurstGetsNoMore counts what was sent just before it was known.
func TestUpstreamThatTurnsColdInABurstGetsNoMore(t *testing.T) {
	g := NewWithT(t)
	v, _ := newSettledVM()
	v.Remove("b")
	g.Expect(v.burst()["a"]).To(Equal(100))
	v.MarkCold("a", coldLength)
	g.Expect(v.burst()).To(BeEmpty())
}

// TestVMWithoutListOrClockSendsColdUpstreamsNothing guards against VMs that each take the
// whole rate because they don't know of each other.
func TestVMWithoutListOrClockSendsColdUpstreamsNothing(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	v.MarkDomainCold("d1")
	v.MarkDomainCold("d2")
	v.clockKnown = false
	g.Expect(v.burst()).To(BeEmpty())
	g.Expect(v.Choose(engines.Requirements{Service: "s"}).ColdLeft).To(Equal(time.Second))
	v.clockKnown, v.vmsKnown = true, false
	v.ExpireLapsed()
	clock.Advance(time.Second)
	g.Expect(v.burst()).To(BeEmpty())
	v.vmsKnown = true
	v.ExpireLapsed()
	clock.Advance(time.Second)
	g.Expect(v.burst()).To(BeEmpty(), "other VMs may not know this one yet")
	clock.Advance(3 * time.Second)
	g.Expect(v.burst()).NotTo(BeEmpty())
}

// TestFirstListingIsNoStart guards against a VM that has started and limits all upstreams.
func TestFirstListingIsNoStart(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	v := newColdVM(clock, 0, 1)
	old, young := newEntry("old", "d1"), newEntry("young", "d1")
	old.Incarnation = clock.Now().Add(-time.Minute).UnixMilli()
	young.Incarnation = clock.Now().Add(-time.Second).UnixMilli()
	v.Replace([]engines.Entry{old, young, coldEntry("reported", "d1")})
	g.Expect(v.burst()).To(HaveLen(1))
	clock.Advance(2 * time.Second)
	g.Expect(find(v.Directory, "young").Begin(0)).NotTo(BeNil())
	g.Expect(find(v.Directory, "reported").Begin(0)).To(BeNil())
}

func TestNewUpstreamOrIncarnationIsCold(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	again := newEntry("b", "d2")
	again.Incarnation = 7
	v.Put(newEntry("c", "d1"))
	v.Put(again)
	clock.Advance(10 * time.Second)
	g.Expect(v.sendTo("b")).To(BeNumerically("<=", 8))
	g.Expect(v.sendTo("c")).To(BeNumerically("<=", 8))
	clock.Advance(time.Second)
	g.Expect(v.sendTo("b")).To(BeNumerically("<=", 8), "reached a second ago")
	again.Version = "v2"
	v.Put(again)
	g.Expect(v.sendTo("b")).To(Equal(100), "its entry says that it is not cold")
}

func TestUpstreamThatCouldNotBeReachedIsCold(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	v.Remove("b")
	a := find(v.Directory, "a")
	a.MarkUnreached(true)
	clock.Advance(time.Minute)
	g.Expect(v.burst()["a"]).To(BeNumerically("<=", 8))
	clock.Advance(coldLength)
	g.Expect(v.burst()["a"]).To(Equal(100), "it was reached again")
	a.MarkUnreached(true)
	v.ForgetFailures("s")
	g.Expect(v.burst()["a"]).To(Equal(100), "this VM was cut off")
}

func TestAnswerTellsWhetherUpstreamIsCold(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	v.Remove("b")
	a := find(v.Directory, "a")
	a.MarkColdFor(2*time.Second, clock.Now())
	clock.Advance(time.Second)
	g.Expect(v.burst()["a"]).To(BeNumerically("<=", 8))
	clock.Advance(time.Second)
	g.Expect(v.burst()["a"]).To(Equal(100))
}

// TestColdUpstreamsAreSeldomAnnounced guards against hints that grow with the requests that an
// upstream loses.
func TestColdUpstreamsAreSeldomAnnounced(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	a := find(v.Directory, "a")
	for range 1000 {
		a.MarkUnreached(true)
		clock.Advance(10 * time.Millisecond)
	}
	g.Expect(len(v.announced)).To(BeNumerically("<=", 6))
	clock.Advance(time.Minute)
	v.MarkCold("a", 0)
	a.MarkUnreached(true)
	g.Expect(len(v.announced)).To(BeNumerically("<=", 6), "another VM announced it")
}

func TestServicesWithoutColdRateAreNotLimited(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.SetColdStart("other", engines.ColdStart{For: coldLength, PerSecond: coldRate})
	d.SetColdStart("s", engines.ColdStart{For: coldLength})
	d.Replace([]engines.Entry{coldEntry("a", "d1")})
	find(d, "a").MarkUnreached(true)
	d.MarkDomainCold("d1")
	for range 100 {
		g.Expect(sendThrough(d)).To(Equal("a"))
	}
}

// TestOldSuspicionsDontBeginALimit covers a configuration that begins to limit cold upstreams.
func TestOldSuspicionsDontBeginALimit(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	v.SetColdStart("s", engines.ColdStart{})
	v.Put(newEntry("c", "d1"))
	clock.Advance(time.Minute)
	v.SetColdStart("s", engines.ColdStart{For: coldLength, PerSecond: coldRate})
	for range 20 {
		g.Expect(find(v.Directory, "c").Begin(0)).NotTo(BeNil())
	}
}

// TestNewIncarnationInheritsSends guards against VMs that use the grants of the last half second
// again, all at once, when they read the entry of a new incarnation.
func TestNewIncarnationInheritsSends(t *testing.T) {
	g := NewWithT(t)
	v, clock := newSettledVM()
	v.Put(newEntry("c", "d1"))
	find(v.Directory, "c").MarkUnreached(false)
	send := func() (n int) {
		for range 100 {
			if find(v.Directory, "c").Begin(0) == nil {
				return n
			}
			n++
		}
		return n
	}
	for range 20 {
		before := send()
		restarted := newEntry("c", "d1")
		restarted.Incarnation = clock.Now().UnixMilli()
		v.Put(restarted)
		g.Expect(send()).To(BeZero(), "after %d requests", before)
		clock.Advance(37 * time.Millisecond)
	}
}
