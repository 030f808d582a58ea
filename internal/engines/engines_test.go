package engines_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

func directory() (*engines.Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return engines.New(engines.Options{
		Region: "r1", Domain: "d1", Return: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: func(id domain.ID) domain.Region { return domain.Region("r" + string(id[1:])) },
	}, clock, slog.New(slog.NewTextHandler(io.Discard, nil))), clock
}

func entry(id, in string) engines.Entry {
	return engines.Entry{ID: upstream.ID(id), Service: "s", Address: id + ":1", Domain: domain.ID(in), Version: "v1", Capacity: 10}
}

func chosen(d *engines.Directory, w engines.Want) upstream.ID {
	w.Service = "s"
	if e := d.Choose(w).Engine; e != nil {
		return e.ID()
	}
	return ""
}

func find(d *engines.Directory, id upstream.ID) *engines.Engine {
	for _, e := range d.Of("s") {
		if e.ID() == id {
			return e
		}
	}
	return nil
}

func TestTheNearestIdleUpstreamIsChosen(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	d.Replace([]engines.Entry{entry("far", "d2"), entry("near", "d1")})
	g.Expect(chosen(d, engines.Want{Bytes: 10_000})).To(BeEquivalentTo("near"))
	find(d, "near").Burden(3 * time.Second)
	g.Expect(chosen(d, engines.Want{Bytes: 10_000})).To(BeEquivalentTo("far"))
}

// TestPromptsThatAreDearToReadMeetInOnePlace shares a part of a prompt between
// VMs of two regions: where reading it costs more than the crossing, both choose
// one upstream.
func TestPromptsThatAreDearToReadMeetInOnePlace(t *testing.T) {
	g := NewWithT(t)
	entries := []engines.Entry{entry("a", "d1"), entry("b", "d1"), entry("c", "d2"), entry("d", "d2")}
	here, _ := directory()
	there := engines.New(engines.Options{
		Region: "r2", Domain: "d2", Return: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: func(id domain.ID) domain.Region { return domain.Region("r" + string(id[1:])) },
	}, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	here.Replace(entries)
	there.Replace(entries)
	for part := uint64(1); part <= 20; part++ {
		long := engines.Want{Locality: part, SharedTokens: 5000, Bytes: 15_000}
		g.Expect(chosen(here, long)).To(Equal(chosen(there, long)))
		short := engines.Want{Locality: part, SharedTokens: 300, Bytes: 5000}
		g.Expect(chosen(here, short)).NotTo(Equal(chosen(there, short)))
	}
}

func TestHeavyWorkElsewhereIsOverInTime(t *testing.T) {
	g := NewWithT(t)
	d, clock := directory()
	d.Replace([]engines.Entry{entry("far", "d2"), entry("near", "d1")})
	d.Burden("near", time.Second)
	d.Burden("near", time.Second)
	d.Burden("nobody", time.Second)
	g.Expect(find(d, "near").Delay()).To(Equal(2 * time.Second))
	clock.Advance(2 * time.Second)
	g.Expect(chosen(d, engines.Want{})).To(BeEquivalentTo("near"))
}

func TestARequestThatWaitsLongSpeaksAgainstItsUpstream(t *testing.T) {
	g := NewWithT(t)
	d, clock := directory()
	d.Replace([]engines.Entry{entry("far", "d2"), entry("near", "d1")})
	stuck := find(d, "near").Begin(10 * time.Millisecond)
	clock.Advance(time.Second)
	g.Expect(find(d, "near").Delay()).To(Equal(time.Second))
	g.Expect(chosen(d, engines.Want{})).To(BeEquivalentTo("far"))
	stuck.Heard()
	g.Expect(find(d, "near").Delay()).To(BeZero())
	stuck.End(engines.Result{Took: time.Second})
	g.Expect(chosen(d, engines.Want{})).To(BeEquivalentTo("near"))
}

func TestLeavingAndTriedUpstreamsGetNothing(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	leaving := entry("a", "d1")
	leaving.Leaving = true
	d.Replace([]engines.Entry{leaving, entry("b", "d1")})
	for draw := range uint64(20) {
		g.Expect(chosen(d, engines.Want{Draw: draw})).To(BeEquivalentTo("b"))
	}
	g.Expect(chosen(d, engines.Want{Tried: []upstream.ID{"b"}})).To(BeEmpty())
}

func TestOnlyAllowedVersionsAreChosen(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	fresh := entry("new", "d1")
	fresh.Version = "v2"
	d.Replace([]engines.Entry{entry("old", "d1"), fresh})
	only := func(want model.VersionID) engines.Want {
		return engines.Want{Allowed: func(v model.VersionID) bool { return v == want }}
	}
	g.Expect(chosen(d, only("v1"))).To(BeEquivalentTo("old"))
	g.Expect(chosen(d, only("v2"))).To(BeEquivalentTo("new"))
	g.Expect(chosen(d, only("v3"))).To(BeEmpty())
}

func TestAnEntryThatVanishesInCalmIsGone(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	d.Replace([]engines.Entry{entry("a", "d1")})
	d.Remove("a")
	g.Expect(chosen(d, engines.Want{})).To(BeEmpty())
}

func TestAnEntryThatLapsedWithTheStoreMayComeBack(t *testing.T) {
	g := NewWithT(t)
	d, clock := directory()
	d.Replace([]engines.Entry{entry("back", "d1"), entry("gone", "d1")})
	d.Lost()
	clock.Advance(5 * time.Second)
	d.Regained()
	d.Replace(nil)
	g.Expect(d.Of("s")).To(HaveLen(2))
	clock.Advance(time.Second)
	d.Put(entry("back", "d1"))
	d.Settle()
	g.Expect(d.Of("s")).To(HaveLen(2))
	clock.Advance(1100 * time.Millisecond)
	d.Settle()
	g.Expect(d.Of("s")).To(HaveLen(1))
	g.Expect(chosen(d, engines.Want{})).To(BeEquivalentTo("back"))
}

func TestWhatWasSeenToLeaveIsGoneAlsoInAnOutage(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	leaving := entry("a", "d1")
	d.Replace([]engines.Entry{leaving})
	leaving.Leaving = true
	d.Put(leaving)
	d.Lost()
	d.Remove("a")
	g.Expect(d.Of("s")).To(BeEmpty())
}

func TestANewLifeOfAnUpstreamBeginsAfresh(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	d.Replace([]engines.Entry{entry("a", "d1")})
	d.Burden("a", 5*time.Second)
	reborn := entry("a", "d1")
	reborn.Born = 7
	d.Put(reborn)
	g.Expect(find(d, "a").Delay()).To(BeZero())
}

func TestAFailingUpstreamIsLeftAloneUntilAllFail(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	d.Replace([]engines.Entry{entry("bad", "d1"), entry("good", "d1")})
	for range 4 {
		find(d, "bad").Begin(0).End(engines.Result{Failed: true})
	}
	for draw := range uint64(20) {
		g.Expect(chosen(d, engines.Want{Draw: draw})).To(BeEquivalentTo("good"))
	}
	for range 4 {
		find(d, "good").Begin(0).End(engines.Result{Failed: true})
	}
	g.Expect(d.Choose(engines.Want{Service: "s"}).Forced).To(BeTrue())
	g.Expect(chosen(d, engines.Want{})).NotTo(BeEmpty())
}

func TestRequestsWithOnePromptPartAreGathered(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	var all []engines.Entry
	for i := range 6 {
		all = append(all, entry(fmt.Sprintf("e%d", i), "d1"))
	}
	d.Replace(all)
	w := engines.Want{Locality: 99, SharedTokens: 5000}
	home := chosen(d, w)
	for draw := range uint64(20) {
		w.Draw = draw
		g.Expect(chosen(d, w)).To(Equal(home))
	}
	find(d, home).Burden(time.Second)
	g.Expect(chosen(d, w)).NotTo(Equal(home))
}

// TestSmallModelsPreferEnginesOfTheirOwn parts eight engines of a region; either
// side takes the other's work once its own engines are busy.
func TestSmallModelsPreferEnginesOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	var entries []engines.Entry
	for i := range 8 {
		entries = append(entries, entry(fmt.Sprint("e", i), "d1"))
	}
	d.Replace(entries)
	used := func(small bool) map[upstream.ID]bool {
		ids := make(map[upstream.ID]bool)
		for draw := range uint64(40) {
			ids[chosen(d, engines.Want{Chooses: true, Small: small, Draw: draw, Locality: draw + 1, SharedTokens: 500})] = true
		}
		return ids
	}
	small, large := used(true), used(false)
	g.Expect(small).To(HaveLen(2))
	g.Expect(large).To(HaveLen(6))
	for id := range small {
		g.Expect(large).NotTo(HaveKey(id))
		find(d, id).Burden(3 * time.Second)
	}
	for id := range used(true) {
		g.Expect(large).To(HaveKey(id))
	}
}

// TestFewEnginesAreNotParted leaves three engines to all models.
func TestFewEnginesAreNotParted(t *testing.T) {
	g := NewWithT(t)
	d, _ := directory()
	d.Replace([]engines.Entry{entry("a", "d1"), entry("b", "d1"), entry("c", "d1")})
	for draw := range uint64(20) {
		w := engines.Want{Chooses: true, Draw: draw, Locality: draw + 1, SharedTokens: 500}
		large := chosen(d, w)
		w.Small = true
		g.Expect(chosen(d, w)).To(Equal(large))
	}
}
