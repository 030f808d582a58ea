package engines_test

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/route"
)

// regionOfPair returns the regions of the failure domains d1 to d6, two in each of r1 to r3. That of
// d0 is unknown.
func regionOfPair(id domain.ID) domain.Region {
	if id == "d0" {
		return ""
	}
	return domain.Region(fmt.Sprintf("r%d", (id[1]-'1')/2+1))
}

// newRegionalDirectory returns an empty directory of a VM in d1.
func newRegionalDirectory(clock *clockwork.FakeClock) *engines.Directory {
	return engines.New(engines.Options{
		SharedClock: sharedClock{clock}, Rank: func() (int, int) { return 0, 1 },
		Region: "r1", Domain: "d1", ReregistrationGrace: 2 * time.Second, Placement: engines.DefaultPlacement(),
		RegionOf: regionOfPair, Registry: prometheus.NewRegistry(),
	}, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

var (
	drawDomain  = rapid.SampledFrom([]domain.ID{"d0", "d1", "d2", "d3", "d4", "d5", "d6"})
	drawRegions = rapid.Custom(func(t *rapid.T) domain.RegionSet {
		draw := rapid.SliceOfNDistinct(rapid.SampledFrom([]domain.Region{"r1", "r2", "r3", "r4"}), 0, 2, rapid.ID)
		return domain.NewRegionSet(draw.Draw(t, "route")...).Intersect(domain.NewRegionSet(draw.Draw(t, "account")...))
	})
	drawFleet = rapid.Custom(func(t *rapid.T) []engines.Entry {
		entries := make([]engines.Entry, rapid.IntRange(0, 80).Draw(t, "upstreams"))
		for i := range entries {
			entries[i] = newEntry(fmt.Sprintf("e%02d", i), string(drawDomain.Draw(t, "domain")))
			entries[i].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		}
		return entries
	})
)

// drawRequirements draws a request for the upstreams of a fleet, some of which failed it.
func drawRequirements(t *rapid.T, fleet []engines.Entry) engines.Requirements {
	req := engines.Requirements{
		Service: "s", Regions: drawRegions.Draw(t, "regions"), Draw: rapid.Uint64().Draw(t, "draw"), Bytes: 4000,
		PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"), SharedTokens: rapid.IntRange(0, 6000).Draw(t, "tokens"),
		RouterPicksModel: rapid.Bool().Draw(t, "cascade"), SmallModel: rapid.Bool().Draw(t, "small"),
	}
	for _, e := range fleet {
		if rapid.IntRange(0, 9).Draw(t, "tried") == 0 {
			req.Tried = append(req.Tried, e.ID)
		}
	}
	return req
}

// cut lets requests to all upstreams of a failure domain fail until their breakers open.
func cut(d *engines.Directory, of domain.ID) {
	for _, e := range d.ForService("s") {
		for range 4 {
			if e.Upstream().Domain != of {
				continue
			}
			if a := e.Begin(0); a != nil {
				a.End(engines.Result{Failed: true})
				e.MarkSilent()
			}
		}
	}
}

// TestNoUpstreamOutsideRegionsOrEvacuatedIsChosen guards against any way by which an upstream is
// chosen that must get nothing, and against a refusal although one may be used: over drawn
// fleets, regions, evacuations and cuts that open the breakers of whole failure domains.
func TestNoUpstreamOutsideRegionsOrEvacuatedIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		clock := clockwork.NewFakeClock()
		d := newRegionalDirectory(clock)
		fleet := drawFleet.Draw(t, "fleet")
		d.Replace(fleet)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			evacuated := rapid.MapOfN(drawDomain, rapid.Bool(), 0, 4).Draw(t, "evacuated")
			d.SetEvacuated(evacuated)
			cut(d, drawDomain.Draw(t, "cut"))
			clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			req := drawRequirements(t, fleet)
			mayServe := func(e engines.Entry) bool {
				return !e.Leaving && !slices.Contains(req.Tried, e.ID) && !evacuated[e.Domain] && req.Regions.Contains(regionOfPair(e.Domain))
			}
			choice := d.Choose(req)
			if choice.Engine == nil {
				g.Expect(slices.ContainsFunc(fleet, mayServe)).To(BeFalse(), "refused")
				continue
			}
			i := slices.IndexFunc(fleet, func(e engines.Entry) bool { return e.ID == choice.Engine.ID() })
			g.Expect(mayServe(fleet[i])).To(BeTrue(), "%v", fleet[i])
			d.SetEvacuated(map[domain.ID]bool{fleet[i].Domain: true})
			g.Expect(choice.Engine.Begin(0)).To(BeNil(), "evacuated after the choice")
		}
	})
}

// TestDecisionsStayTheSameWithoutRegionsAndEvacuations compares a request without regions, before
// any evacuation, with the same one that may be served in all regions once evacuations are over.
// Both are decided by the same directory, since the order of its upstreams breaks ties.
func TestDecisionsStayTheSameWithoutRegionsAndEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		d := newRegionalDirectory(clockwork.NewFakeClock())
		fleet := slices.DeleteFunc(drawFleet.Draw(t, "fleet"), func(e engines.Entry) bool { return e.Domain == "d0" })
		d.Replace(fleet)
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			req := drawRequirements(t, fleet)
			req.Regions = domain.RegionSet{}
			want := d.Choose(req)
			d.SetEvacuated(rapid.MapOfN(drawDomain, rapid.Bool(), 0, 4).Draw(t, "evacuated"))
			d.SetEvacuated(nil)
			req.Regions = domain.NewRegionSet("r1", "r2", "r3")
			g.Expect(d.Choose(req)).To(Equal(want))
			if want.Engine != nil {
				want.Engine.Begin(50 * time.Millisecond)
			}
		}
	})
}

// TestUpstreamsAreColdAfterTheirEvacuation guards against upstreams that get their full load at once
// after an evacuation, and against others that are limited with them.
func TestUpstreamsAreColdAfterTheirEvacuation(t *testing.T) {
	g := NewWithT(t)
	d := newRegionalDirectory(clockwork.NewFakeClock())
	d.SetColdStart("s", engines.ColdStart{For: coldLength, PerSecond: 0.001})
	d.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d1"), newEntry("c", "d2"), newEntry("d", "d3")})
	cold := func() int { return d.Choose(engines.Requirements{Service: "s"}).Refused[route.Cold] }
	d.SetEvacuated(map[domain.ID]bool{"d1": true, "d2": true})
	g.Expect(d.EvacuatedCounts()).To(Equal(map[string]int{"s": 3}))
	d.SetEvacuated(map[domain.ID]bool{"d2": true})
	g.Expect(cold()).To(Equal(2))
	d.SetEvacuated(map[domain.ID]bool{"d2": true, "d1": false})
	g.Expect(cold()).To(Equal(2))
	d.SetEvacuated(nil)
	g.Expect(cold()).To(Equal(3))
}
