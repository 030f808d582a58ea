package route_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/route"
)

// withRegionFilters returns the default options with the filters for regions and evacuations.
func withRegionFilters() route.Options {
	opts := route.DefaultOptions()
	opts.Filters = append([]route.Filter{route.RegionFilter{}, route.EvacuatedFilter{}}, opts.Filters...)
	return opts
}

var _ = Describe("The filters for regions and evacuations", func() {
	It("refuse candidates outside the regions, of unknown region, and evacuated ones", func() {
		s, r := engines(4), request()
		s[0].Region, s[1].Region, s[2].Region, s[3].Region = "r1", "", "r2", "r2"
		s[2].Evacuated = true
		r.Regions = domain.NewRegionSet("r2")
		d, ok := route.NewPolicy(withRegionFilters()).Select(r, s)
		Expect(ok).To(BeTrue())
		Expect(d.Upstream.ID).To(Equal(s[3].Upstream.ID))
		Expect(d.Refused[route.OutsideRegions]).To(Equal(2))
		Expect(d.Refused[route.Evacuated]).To(Equal(1))
	})

	// Guards against a deployment without home regions and evacuations that decides otherwise
	// than before.
	It("change no decision without regions and evacuations", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, r := engines(rapid.IntRange(1, 90).Draw(t, "engines")), request()
			for i := range s {
				s[i].Region = rapid.SampledFrom([]domain.Region{"", "r1", "r2"}).Draw(t, "region")
				s[i].RemoteInFlight = rapid.IntRange(0, 40).Draw(t, "requests")
				s[i].Leaving = rapid.Bool().Draw(t, "leaving")
			}
			r.Draw = rapid.Uint64().Draw(t, "draw")
			r.Preferred = s[0].Upstream.ID
			before, okBefore := route.NewPolicy(route.DefaultOptions()).Select(r, s)
			after, okAfter := route.NewPolicy(withRegionFilters()).Select(r, s)
			Expect(okAfter).To(Equal(okBefore))
			Expect(after).To(Equal(before))
		})
	})
})
