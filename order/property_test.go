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

var itemsGenerator = rapid.SliceOfN(rapid.SampledFrom([]order.Item{v1, v2, adapter, version("3")}), 0, 4)

// randomView draws an engine in an arbitrary state that was read 0 to 6 seconds ago.
func randomView(t *rapid.T, i int) order.View {
	state := order.State{
		Fence:      uint64(rapid.IntRange(0, 8).Draw(t, "fence")),
		Generation: uint64(rapid.IntRange(0, 6).Draw(t, "generation")),
		Target:     itemsGenerator.Draw(t, "target"),
	}
	for _, item := range itemsGenerator.Draw(t, "loaded") {
		state.Loaded = append(state.Loaded, order.Loaded{Item: item, Active: rapid.IntRange(0, 1).Draw(t, "active")})
	}
	v := newView(state)
	v.Desired.Engine = upstream.ID(fmt.Sprint(i))
	v.Desired.Fencing = rapid.Bool().Draw(t, "fencing")
	v.Desired.Items = itemsGenerator.Draw(t, "desired")
	v.Observed.ReadStarted = now.Add(-time.Duration(rapid.IntRange(0, 6).Draw(t, "age")) * time.Second)
	return v
}

// planViolation returns the rule that the order violates for the engine, or "".
func planViolation(view order.View, o order.Order) string {
	state := view.Observed.State
	for _, loaded := range state.Loaded {
		if loaded.Active > 0 && !slices.Contains(o.Items, loaded.Item) {
			return fmt.Sprintf("unloads %v, which is in use", loaded.Item)
		}
	}
	for _, item := range o.Items {
		base := order.Item{Version: item.Version}
		if startsLoad(view, item) && slices.Contains(view.Desired.Items, base) && !slices.Contains(o.Items, base) {
			return fmt.Sprintf("loads %v before its version", item)
		}
	}
	if state.Generation > view.Desired.Generation || now.Sub(view.Observed.ReadStarted) > policy.MaxAge {
		return "is sent although the state or the desired state is out of date"
	}
	return ""
}

// startsLoad reports whether an order with the item would start to load it.
func startsLoad(v order.View, item order.Item) bool {
	isLoaded := slices.ContainsFunc(v.Observed.State.Loaded, func(l order.Loaded) bool { return l.Item == item })
	return !isLoaded && !slices.Contains(v.Observed.State.Target, item)
}

var _ = Describe("Plan on random states", func() {
	It("unloads nothing in use, limits loads and plans at most one order per engine", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var views []order.View
			for i := range 5 {
				views = append(views, randomView(t, i))
			}
			decision := planViews(views...)
			loads, lastView := 0, -1
			for _, o := range decision.Orders {
				i := slices.IndexFunc(views, func(v order.View) bool { return v.Desired.Engine == o.Engine })
				if i <= lastView {
					t.Fatalf("order for engine %s is repeated or out of sequence", o.Engine)
				}
				lastView = i
				for _, item := range o.Items {
					if startsLoad(views[i], item) {
						loads++
					}
				}
				if violation := planViolation(views[i], o); violation != "" {
					t.Fatalf("order %+v for view %+v %s", o, views[i], violation)
				}
			}
			if loads > 2 {
				t.Fatalf("%d loads started with 2 tokens in the bucket", loads)
			}
		})
	})
})
