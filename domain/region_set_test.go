package domain_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
)

// TestRegionSetWithoutCommonRegionAllowsNone guards against an intersection without a common
// region that counts as unrestricted.
func TestRegionSetWithoutCommonRegionAllowsNone(t *testing.T) {
	g := NewWithT(t)
	none := domain.NewRegionSet("north").Intersect(domain.NewRegionSet("south"))
	g.Expect(none.Restricted()).To(BeTrue())
	g.Expect(none.Contains("north")).To(BeFalse())
	g.Expect(none.Contains("")).To(BeFalse())
	g.Expect(none.Intersect(domain.RegionSet{}).Contains("north")).To(BeFalse())
}

func TestRegionSetIntersectsOnlyRestrictedSets(t *testing.T) {
	g := NewWithT(t)
	any, north := domain.NewRegionSet(), domain.NewRegionSet("north", "centre")
	g.Expect(any.Contains("")).To(BeTrue())
	g.Expect(any.Intersect(north)).To(Equal(north))
	g.Expect(north.Intersect(any)).To(Equal(north))
	g.Expect(north.Intersect(domain.NewRegionSet("centre")).String()).To(Equal("centre"))
	g.Expect(any.String()).To(Equal("any"))
}

// TestRestrictedRegionSetExcludesUnknownRegion guards against a failure domain of unknown region
// that counts as allowed because a set names an empty region.
func TestRestrictedRegionSetExcludesUnknownRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(domain.NewRegionSet("north", "").Contains("")).To(BeFalse())
}
