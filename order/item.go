package order

import (
	"cmp"
	"slices"
	"strings"

	"github.com/poplarshore/poplarshore/model"
)

// Item is a unit of loading on an engine: a model version or an adapter for one.
type Item struct {
	Version model.Ref
	// Adapter is the name of the adapter, empty for the version itself.
	Adapter string
}

// String returns "model@version" or "model@version+adapter".
func (i Item) String() string {
	if i.Adapter == "" {
		return i.Version.String()
	}
	return i.Version.String() + "+" + i.Adapter
}

func compareItems(a, b Item) int {
	return cmp.Or(
		strings.Compare(string(a.Version.Model), string(b.Version.Model)),
		strings.Compare(string(a.Version.Version), string(b.Version.Version)),
		strings.Compare(a.Adapter, b.Adapter),
	)
}

// normalized returns a sorted copy of the items without duplicates. A version sorts
// before its adapters.
func normalized(items []Item) []Item {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, compareItems)
	return slices.Compact(sorted)
}

// without returns the items that are not in others.
func without(items, others []Item) []Item {
	var rest []Item
	for _, item := range items {
		if !slices.Contains(others, item) {
			rest = append(rest, item)
		}
	}
	return rest
}
