package engines_test

import (
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
	"github.com/poplarshore/poplarshore/internal/loadshare"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// newSharingDirectory returns an empty directory of a VM that shares reports.
func newSharingDirectory(clock *clockwork.FakeClock, answerEnd bool) *engines.Directory {
	return engines.New(engines.Options{
		AnswerEnd: answerEnd, ShareReports: true, SharedClock: sharedClock{clock}, Rank: func() (int, int) { return 0, 1 },
		Region: "r1", Domain: "d1", ReregistrationGrace: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: func(id domain.ID) domain.Region { return domain.Region("r" + string(id[1:])) },
		Registry: prometheus.NewRegistry(),
	}, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// tell passes what one VM knows on to another one, through the encoding.
func tell(t *testing.T, from, to *engines.Directory) engines.Merged {
	m := from.SharedReports()
	decoded, err := loadshare.Decode(m.Encode())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return to.MergeReports(decoded)
}

// stream lets an upstream answer a request of the VM with events at the given gap.
func stream(clock *clockwork.FakeClock, d *engines.Directory, e engines.Entry, gap time.Duration, events int) {
	a := find(d, e.ID).Begin(0)
	defer a.End(engines.Result{Took: gap * time.Duration(events)})
	for range events {
		clock.Advance(gap)
		a.RecordEvents("large", 1, 0)
	}
}

// expectedGap returns the gap that the VM expects on its only upstream that isn't tried.
func expectedGap(d *engines.Directory, req engines.Requirements) time.Duration {
	req.Service, req.Answer = "s", engines.AnswerShape{Model: "large", Events: 40, TimeLeft: time.Minute}
	return d.Choose(req).EventGap
}

// TestNewerReportOfOtherVMCounts guards against loads that are known too late, and against own
// requests that are counted twice.
func TestNewerReportOfOtherVMCounts(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	a, b := newSharingDirectory(clock, false), newSharingDirectory(clock, false)
	entries := []engines.Entry{newEntry("u", "d1")}
	a.Replace(entries)
	b.Replace(entries)
	for range 2 {
		find(b, "u").Begin(0)
	}
	find(b, "u").UpdateLoad(route.Load{Running: 2})
	clock.Advance(time.Second)
	find(a, "u").UpdateLoad(route.Load{Running: 7, Waiting: 1, Slowdown: 2})
	clock.Advance(100 * time.Millisecond)
	g.Expect(tell(t, a, b)).To(Equal(engines.Merged{Used: 1}))
	g.Expect(find(b, "u").Utilization()).To(BeNumerically("~", 0.8, 0.01), "8 of 10, 2 of them own ones")
	g.Expect(tell(t, a, b)).To(Equal(engines.Merged{Stale: 1}))
	clock.Advance(time.Second)
	find(b, "u").UpdateLoad(route.Load{Running: 3})
	g.Expect(tell(t, a, b)).To(Equal(engines.Merged{Stale: 1}), "the own report is newer")
	g.Expect(find(b, "u").Utilization()).To(BeNumerically("~", 0.3, 0.01))
}

// TestReportOnEarlierIncarnationIsIgnored guards against an upstream that has started anew and
// counts as slow and loaded as before.
func TestReportOnEarlierIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	a, b := newSharingDirectory(clock, true), newSharingDirectory(clock, true)
	old, renewed := newEntry("u", "d1"), newEntry("u", "d1")
	renewed.Incarnation = 2
	a.Replace([]engines.Entry{old})
	b.Replace([]engines.Entry{renewed})
	find(a, "u").UpdateLoad(route.Load{Running: 9})
	g.Expect(tell(t, a, b)).To(Equal(engines.Merged{Unknown: 1}))
	g.Expect(find(b, "u").Utilization()).To(BeZero())
}

// TestSpeedIsLearntFromOtherVM guards against VMs that never learn which upstreams are slow, as
// they see each of them too seldom. The VMs differ in what they hold for usual.
func TestSpeedIsLearntFromOtherVM(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	a, b := newSharingDirectory(clock, true), newSharingDirectory(clock, true)
	entries := []engines.Entry{newEntry("fast", "d1"), newEntry("slow", "d1")}
	a.Replace(entries)
	b.Replace(entries)
	stream(clock, b, entries[0], 30*time.Millisecond, 30)
	for range 6 {
		stream(clock, a, entries[1], 72*time.Millisecond, 30)
		stream(clock, a, entries[0], 30*time.Millisecond, 30)
	}
	tried := engines.Requirements{Tried: []upstream.ID{"fast"}}
	before := expectedGap(b, tried)
	g.Expect(before).To(BeNumerically("<", 36*time.Millisecond))
	for range 8 {
		tell(t, a, b)
		clock.Advance(400 * time.Millisecond)
	}
	g.Expect(expectedGap(b, tried)).To(BeNumerically(">", 55*time.Millisecond), "slow ones take 72 ms")
	g.Expect(expectedGap(b, engines.Requirements{Tried: []upstream.ID{"slow"}})).To(BeNumerically("<", 36*time.Millisecond))
	clock.Advance(10 * time.Second)
	g.Expect(expectedGap(b, tried)).To(BeNumerically(">", 50*time.Millisecond), "it outlasts the gaps")
	clock.Advance(3 * time.Minute)
	g.Expect(expectedGap(b, tried)).To(BeNumerically("<", 36*time.Millisecond), "it fades")
}

// TestEchoesFade guards against VMs that return a speed to each other and never forget it.
func TestEchoesFade(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	vms := make([]*engines.Directory, 25)
	entry := newEntry("u", "d1")
	for i := range vms {
		vms[i] = newSharingDirectory(clock, true)
		vms[i].Replace([]engines.Entry{entry})
		stream(clock, vms[i], entry, 30*time.Millisecond, 10)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	weight := func() float64 {
		most := 0.0
		for _, d := range vms {
			most = max(most, d.SharedReports().Entries[0].Weight)
		}
		return most
	}
	g.Expect(weight()).To(BeNumerically(">", 3))
	for range 300 {
		clock.Advance(400 * time.Millisecond)
		for i, d := range vms {
			tell(t, d, vms[(i+1+rng.IntN(24))%25])
		}
	}
	g.Expect(weight()).To(BeNumerically("<", 0.5))
}

// TestNonsenseOfOneVMChangesLittle guards against a VM that reports wrong speeds: one's own gaps
// and sound reports outweigh it.
func TestNonsenseOfOneVMChangesLittle(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	a, b := newSharingDirectory(clock, true), newSharingDirectory(clock, true)
	entries := []engines.Entry{newEntry("u", "d1"), newEntry("v", "d1")}
	a.Replace(entries)
	b.Replace(entries)
	for range 3 {
		for _, e := range entries {
			stream(clock, a, e, 30*time.Millisecond, 30)
			stream(clock, b, e, 30*time.Millisecond, 30)
		}
	}
	sound := expectedGap(b, engines.Requirements{Tried: []upstream.ID{"v"}})
	for range 20 {
		nonsense := a.SharedReports()
		for i := range nonsense.Entries {
			nonsense.Entries[i].Speed, nonsense.Entries[i].Weight = 8, 100
		}
		b.MergeReports(nonsense)
		for range 10 {
			tell(t, a, b)
		}
	}
	g.Expect(expectedGap(b, engines.Requirements{Tried: []upstream.ID{"v"}})).To(BeNumerically("~", sound, sound/5))
}

// TestWithoutSharingNothingIsToldOrUsed guards against effects where the settings don't call for
// them.
func TestWithoutSharingNothingIsToldOrUsed(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	a, off := newSharingDirectory(clock, true), newPacedDirectory(clock, 0, 1, true)
	entry := newEntry("u", "d1")
	a.Replace([]engines.Entry{entry})
	off.Replace([]engines.Entry{entry})
	find(a, "u").UpdateLoad(route.Load{Running: 9})
	find(off, "u").UpdateLoad(route.Load{Running: 1})
	clock.Advance(time.Second)
	find(a, "u").UpdateLoad(route.Load{Running: 9})
	g.Expect(tell(t, a, off)).To(Equal(engines.Merged{}))
	g.Expect(find(off, "u").Utilization()).To(BeNumerically("~", 0.1, 0.01))
	g.Expect(off.SharedReports()).To(Equal(loadshare.Message{}))
}
