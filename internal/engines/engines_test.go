package engines_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// newDirectory returns an empty directory of a VM in failure domain d1 of region
// r1. Failure domain dN belongs to region rN.
func newDirectory() (*engines.Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return newDirectoryOf(clock, 0, 1), clock
}

// sharedClock is a clock that all VMs share.
type sharedClock struct{ *clockwork.FakeClock }

func (c sharedClock) Now() (time.Duration, bool) {
	return time.Duration(c.FakeClock.Now().UnixNano()), true
}

// newDirectoryOf returns an empty directory of the VM of the given rank.
func newDirectoryOf(clock *clockwork.FakeClock, rank, vms int) *engines.Directory {
	return newPacedDirectory(clock, rank, vms, false)
}

// regionOf returns the region of a failure domain, without allocation for those of the benchmark.
func regionOf(id domain.ID) domain.Region {
	switch id {
	case "d1":
		return "r1"
	case "d2":
		return "r2"
	}
	return domain.Region("r" + string(id[1:]))
}

// newPacedDirectory returns one that regards when answers end, if answerEnd is set.
func newPacedDirectory(clock *clockwork.FakeClock, rank, vms int, answerEnd bool) *engines.Directory {
	return engines.New(pacedOptions(clock, rank, vms, answerEnd), clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// pacedOptions returns the options of newPacedDirectory.
func pacedOptions(clock *clockwork.FakeClock, rank, vms int, answerEnd bool) engines.Options {
	return engines.Options{
		AnswerEnd:   answerEnd,
		SharedClock: sharedClock{clock}, Rank: func() (int, int) { return rank, vms },
		Region: "r1", Domain: "d1", ReregistrationGrace: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: regionOf,
		Registry: prometheus.NewRegistry(),
	}
}

func newEntry(id, failureDomain string) engines.Entry {
	return engines.Entry{ID: upstream.ID(id), Service: "s", Address: id + ":1", Domain: domain.ID(failureDomain), Version: "v1", Capacity: 10}
}

// chooseID returns the ID of the chosen upstream; empty if there is none.
func chooseID(d *engines.Directory, req engines.Requirements) upstream.ID {
	req.Service = "s"
	if e := d.Choose(req).Engine; e != nil {
		return e.ID()
	}
	return ""
}

func find(d *engines.Directory, id upstream.ID) *engines.Engine {
	for _, e := range d.ForService("s") {
		if e.ID() == id {
			return e
		}
	}
	return nil
}

func TestChoosePrefersNearestIdleUpstream(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.Replace([]engines.Entry{newEntry("far", "d2"), newEntry("near", "d1")})
	g.Expect(chooseID(d, engines.Requirements{Bytes: 10_000})).To(BeEquivalentTo("near"))
	find(d, "near").AddRemoteWork(3 * time.Second)
	g.Expect(chooseID(d, engines.Requirements{Bytes: 10_000})).To(BeEquivalentTo("far"))
}

func TestUpstreamIsSilentUntilSomethingComes(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("e", "d1")})
	e := find(d, "e")
	attempt := e.Begin(0)
	clock.Advance(time.Minute)
	g.Expect(e.IsSilent()).To(BeFalse(), "it may work on the request")
	e.MarkSilent()
	g.Expect(e.IsSilent()).To(BeTrue())
	attempt.MarkReceived()
	g.Expect(e.IsSilent()).To(BeFalse())
	e.MarkSilent()
	clock.Advance(engines.SilencePenalty)
	g.Expect(e.IsSilent()).To(BeFalse(), "long ago")
}

// TestSilentUpstreamIsAvoidedUnderLoad replays a load under which the other upstream is
// nearly full. One that has answered nothing looks idle then, and without more than the
// record of one failure it would get the next requests, each of which waits for its
// timeout.
func TestSilentUpstreamIsAvoidedUnderLoad(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("dark", "d1"), newEntry("busy", "d1")})
	for range 8 {
		find(d, "busy").Begin(0).MarkReceived()
	}
	attempt := find(d, "dark").Begin(100 * time.Millisecond)
	clock.Advance(1500 * time.Millisecond)
	attempt.End(engines.Result{Failed: true})
	find(d, "dark").MarkSilent()
	for range 20 {
		g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("busy"))
	}
	clock.Advance(engines.SilencePenalty)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("dark"), "it is tried again")
}

// TestSilenceReportedByOtherVMIsIgnoredAfterAnswer covers a VM whose path to an upstream is
// cut. Its report must not keep others from the upstream that answers them.
func TestSilenceReportedByOtherVMIsIgnoredAfterAnswer(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d1")})
	clock.Advance(time.Minute)
	find(d, "a").Begin(0).MarkReceived()
	find(d, "b").Begin(0)
	d.MarkSilent("a")
	d.MarkSilent("b")
	d.MarkSilent("unknown")
	for range 20 {
		g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"))
	}
}

// TestSilenceOfAllUpstreamsIsNoReasonToRefuse covers a VM that wakes up from a freeze: all
// of its requests have timed out, and the upstreams are well.
func TestSilenceOfAllUpstreamsIsNoReasonToRefuse(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d1")})
	clock.Advance(time.Minute)
	for _, e := range d.ForService("s") {
		e.MarkSilent()
	}
	choice := d.Choose(engines.Requirements{Service: "s"})
	g.Expect(choice.Engine).NotTo(BeNil())
	g.Expect(choice.Engine.ExpectedWait()).To(BeZero())
}

// TestChooseSharesHomeAcrossRegionsForLongPrefixes sends requests with the same
// prompt prefix to VMs of two regions. Prefilling a long prefix costs more than
// sending the request to the other region, so both VMs choose the same upstream.
// For a short prefix each VM chooses an upstream of its own region.
func TestChooseSharesHomeAcrossRegionsForLongPrefixes(t *testing.T) {
	g := NewWithT(t)
	entries := []engines.Entry{newEntry("a", "d1"), newEntry("b", "d1"), newEntry("c", "d2"), newEntry("d", "d2")}
	region1, _ := newDirectory()
	region2 := engines.New(engines.Options{
		Region: "r2", Domain: "d2", ReregistrationGrace: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: func(id domain.ID) domain.Region { return domain.Region("r" + string(id[1:])) },
		Registry: prometheus.NewRegistry(),
	}, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	region1.Replace(entries)
	region2.Replace(entries)
	for part := uint64(1); part <= 20; part++ {
		long := engines.Requirements{PrefixHash: part, SharedTokens: 5000, Bytes: 15_000}
		g.Expect(chooseID(region1, long)).To(Equal(chooseID(region2, long)))
		short := engines.Requirements{PrefixHash: part, SharedTokens: 300, Bytes: 5000}
		g.Expect(chooseID(region1, short)).NotTo(Equal(chooseID(region2, short)))
	}
}

func TestRemoteWorkExpires(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("far", "d2"), newEntry("near", "d1")})
	d.AddRemoteWork("near", time.Second)
	d.AddRemoteWork("near", time.Second)
	d.AddRemoteWork("nobody", time.Second)
	g.Expect(find(d, "near").ExpectedWait()).To(Equal(2 * time.Second))
	clock.Advance(2 * time.Second)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("near"))
}

func TestOverduePendingRequestRaisesExpectedWait(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("far", "d2"), newEntry("near", "d1")})
	overdue := find(d, "near").Begin(10 * time.Millisecond)
	clock.Advance(time.Second)
	g.Expect(find(d, "near").ExpectedWait()).To(Equal(time.Second))
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("far"))
	overdue.MarkReceived()
	g.Expect(find(d, "near").ExpectedWait()).To(BeZero())
	overdue.End(engines.Result{Took: time.Second})
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("near"))
}

func TestChooseSkipsLeavingAndTriedUpstreams(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	leaving := newEntry("a", "d1")
	leaving.Leaving = true
	d.Replace([]engines.Entry{leaving, newEntry("b", "d1")})
	for draw := range uint64(20) {
		g.Expect(chooseID(d, engines.Requirements{Draw: draw})).To(BeEquivalentTo("b"))
	}
	g.Expect(chooseID(d, engines.Requirements{Tried: []upstream.ID{"b"}})).To(BeEmpty())
}

func TestChooseSelectsOnlyAllowedVersions(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	newVersion := newEntry("new", "d1")
	newVersion.Version = "v2"
	d.Replace([]engines.Entry{newEntry("old", "d1"), newVersion})
	onlyVersion := func(want model.VersionID) engines.Requirements {
		return engines.Requirements{Allowed: func(v model.VersionID) bool { return v == want }}
	}
	g.Expect(chooseID(d, onlyVersion("v1"))).To(BeEquivalentTo("old"))
	g.Expect(chooseID(d, onlyVersion("v2"))).To(BeEquivalentTo("new"))
	g.Expect(chooseID(d, onlyVersion("v3"))).To(BeEmpty())
}

func TestRemoveWithoutOutageEvictsAtOnce(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1")})
	d.Remove("a")
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEmpty())
}

func TestEntryLapsedDuringOutageIsKeptForGracePeriod(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("back", "d1"), newEntry("gone", "d1")})
	d.MarkStoreDown()
	clock.Advance(5 * time.Second)
	d.MarkStoreUp()
	d.Replace(nil)
	g.Expect(d.ForService("s")).To(HaveLen(2))
	clock.Advance(time.Second)
	d.Put(newEntry("back", "d1"))
	d.ExpireLapsed()
	g.Expect(d.ForService("s")).To(HaveLen(2))
	clock.Advance(1100 * time.Millisecond)
	d.ExpireLapsed()
	g.Expect(d.ForService("s")).To(HaveLen(1))
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("back"))
}

// TestUpstreamThatLeftDuringLocalOutageIsRemovedAtOnce guards against requests to upstreams that left
// while only this VM could not read the store.
func TestUpstreamThatLeftDuringLocalOutageIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("stays", "d1"), newEntry("left", "d1")})
	d.MarkStoreDown()
	clock.Advance(5 * time.Second)
	d.MarkStoreReached()
	d.Remove("left")
	g.Expect(d.ForService("s")).To(HaveLen(1))
}

func TestRemoveEvictsLeavingUpstreamDuringOutage(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	leaving := newEntry("a", "d1")
	d.Replace([]engines.Entry{leaving})
	leaving.Leaving = true
	d.Put(leaving)
	d.MarkStoreDown()
	d.Remove("a")
	g.Expect(d.ForService("s")).To(BeEmpty())
}

func TestRestartedUpstreamStartsWithFreshState(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1")})
	d.AddRemoteWork("a", 5*time.Second)
	restarted := newEntry("a", "d1")
	restarted.Incarnation = 7
	d.Put(restarted)
	g.Expect(find(d, "a").ExpectedWait()).To(BeZero())
}

func TestChooseAvoidsOpenBreakersUnlessAllAreOpen(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.Replace([]engines.Entry{newEntry("bad", "d1"), newEntry("good", "d1")})
	for range 4 {
		find(d, "bad").Begin(0).End(engines.Result{Failed: true})
	}
	for draw := range uint64(20) {
		g.Expect(chooseID(d, engines.Requirements{Draw: draw})).To(BeEquivalentTo("good"))
	}
	for range 4 {
		find(d, "good").Begin(0).End(engines.Result{Failed: true})
	}
	g.Expect(d.Choose(engines.Requirements{Service: "s"}).BreakersIgnored).To(BeTrue())
	g.Expect(chooseID(d, engines.Requirements{})).NotTo(BeEmpty())
}

func TestSharedPrefixIsRoutedToHomeUnlessBusy(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	var all []engines.Entry
	for i := range 6 {
		all = append(all, newEntry(fmt.Sprintf("e%d", i), "d1"))
	}
	d.Replace(all)
	req := engines.Requirements{PrefixHash: 99, SharedTokens: 5000}
	home := chooseID(d, req)
	for draw := range uint64(20) {
		req.Draw = draw
		g.Expect(chooseID(d, req)).To(Equal(home))
	}
	find(d, home).AddRemoteWork(time.Second)
	g.Expect(chooseID(d, req)).NotTo(Equal(home))
}

// TestSmallModelsPreferTheirPoolUntilBusy uses eight upstreams of a region, two of
// which are preferred for small models. Once those are busy, requests to small
// models use the others.
func TestSmallModelsPreferTheirPoolUntilBusy(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	var entries []engines.Entry
	for i := range 8 {
		entries = append(entries, newEntry(fmt.Sprint("e", i), "d1"))
	}
	d.Replace(entries)
	used := func(small bool) map[upstream.ID]bool {
		ids := make(map[upstream.ID]bool)
		for draw := range uint64(40) {
			ids[chooseID(d, engines.Requirements{RouterPicksModel: true, SmallModel: small, Draw: draw, PrefixHash: draw + 1, SharedTokens: 500})] = true
		}
		return ids
	}
	small, large := used(true), used(false)
	g.Expect(small).To(HaveLen(2))
	g.Expect(large).To(HaveLen(6))
	for id := range small {
		g.Expect(large).NotTo(HaveKey(id))
		find(d, id).AddRemoteWork(3 * time.Second)
	}
	for id := range used(true) {
		g.Expect(large).To(HaveKey(id))
	}
}

// TestSmallRegionHasNoSmallModelPool uses three upstreams, which are too few to
// prefer a quarter of them for small models, so that small and large models choose
// the same upstream.
func TestSmallRegionHasNoSmallModelPool(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d1"), newEntry("c", "d1")})
	for draw := range uint64(20) {
		req := engines.Requirements{RouterPicksModel: true, Draw: draw, PrefixHash: draw + 1, SharedTokens: 500}
		large := chooseID(d, req)
		req.SmallModel = true
		g.Expect(chooseID(d, req)).To(Equal(large))
	}
}

// A sound upstream may be silent for a second and go on.
func TestUpstreamThatAnswersAgainIsNotAvoided(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("near", "d1"), newEntry("far", "d2")})
	running := find(d, "near").Begin(0)
	find(d, "far").Begin(0)
	find(d, "near").MarkSilent()
	clock.Advance(time.Second)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("far"))
	running.MarkReceived()
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("near"))
}
