package domain

import (
	"slices"
	"strings"
)

// RegionSet is a set of regions that something is restricted to. The zero value
// restricts nothing. It is immutable.
type RegionSet struct {
	restricted bool
	names      []Region
}

// NewRegionSet returns the set of the given regions; without any it restricts nothing.
func NewRegionSet(names ...Region) RegionSet {
	return RegionSet{restricted: len(names) > 0, names: slices.Clone(names)}
}

// Restricted reports whether the set excludes any region.
func (s RegionSet) Restricted() bool { return s.restricted }

// Contains reports whether a region is allowed. An unrestricted set allows every region,
// also one without a name, which stands for an unknown region; a restricted set never allows
// that one.
func (s RegionSet) Contains(r Region) bool {
	return !s.restricted || r != "" && slices.Contains(s.names, r)
}

// Intersect returns the set of the regions that both sets allow. It may allow none.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	common := RegionSet{restricted: true}
	for _, r := range s.names {
		if other.Contains(r) {
			common.names = append(common.names, r)
		}
	}
	return common
}

// String returns the names of the regions, separated by commas; "any" if the set restricts
// nothing.
func (s RegionSet) String() string {
	if !s.restricted {
		return "any"
	}
	names := make([]string, len(s.names))
	for i, r := range s.names {
		names[i] = string(r)
	}
	return strings.Join(names, ",")
}
