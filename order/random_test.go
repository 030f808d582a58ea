package order_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

var anyItems = rapid.SliceOfN(rapid.SampledFrom([]order.Item{v1, v2, adapter, version("3")}), 0, 4)

// randomView draws an engine in any state, read at about the present.
func randomView(t *rapid.T, i int) order.View {
	state := order.State{
		Fence:      uint64(rapid.IntRange(0, 8).Draw(t, "fence")),
		Generation: uint64(rapid.IntRange(0, 6).Draw(t, "generation")),
		Target:     anyItems.Draw(t, "target"),
	}
	for _, item := range anyItems.Draw(t, "loaded") {
		state.Loaded = append(state.Loaded, order.Loaded{Item: item, Active: rapid.IntRange(0, 1).Draw(t, "active")})
	}
	v := view(state)
	v.Desired.Engine = upstream.ID(fmt.Sprint(i))
	v.Desired.Fencing = rapid.Bool().Draw(t, "fencing")
	v.Desired.Items = anyItems.Draw(t, "desired")
	v.Observed.Began = now.Add(-time.Duration(rapid.IntRange(0, 6).Draw(t, "age")) * time.Second)
	return v
}

// misstep tells what is wrong with the order for the engine.
func misstep(v order.View, o order.Order) string {
	state := v.Observed.State
	for _, loaded := range state.Loaded {
		if loaded.Active > 0 && !slices.Contains(o.Items, loaded.Item) {
			return fmt.Sprintf("unloads %v, which is in use", loaded.Item)
		}
	}
	for _, item := range o.Items {
		base := order.Item{Version: item.Version}
		if starts(v, item) && slices.Contains(v.Desired.Items, base) && !slices.Contains(o.Items, base) {
			return fmt.Sprintf("loads %v before its version", item)
		}
	}
	if state.Generation > v.Desired.Generation || now.Sub(v.Observed.Began) > policy.MaxAge {
		return "should stand back"
	}
	return ""
}

// starts reports whether an order with the item would begin to load it.
func starts(v order.View, item order.Item) bool {
	isLoaded := slices.ContainsFunc(v.Observed.State.Loaded, func(l order.Loaded) bool { return l.Item == item })
	return !isLoaded && !slices.Contains(v.Observed.State.Target, item)
}

var _ = Describe("Plan on random states", func() {
	It("unloads nothing in use, keeps the pace and gives one order an engine", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var views []order.View
			for i := range 5 {
				views = append(views, randomView(t, i))
			}
			d := plan(views...)
			loads, last := 0, -1
			for _, o := range d.Orders {
				i := slices.IndexFunc(views, func(v order.View) bool { return v.Desired.Engine == o.Engine })
				if i <= last {
					t.Fatalf("two orders for engine %s", o.Engine)
				}
				last = i
				for _, item := range o.Items {
					if starts(views[i], item) {
						loads++
					}
				}
				if wrong := misstep(views[i], o); wrong != "" {
					t.Fatalf("the order %+v for %+v %s", o, views[i], wrong)
				}
			}
			if loads > 2 {
				t.Fatalf("%d loads with two tokens", loads)
			}
		})
	})
})
