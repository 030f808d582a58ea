package order_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/bubble"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

// suite is the test under which synctest bubbles run.
var suite *testing.T

func TestOrder(t *testing.T) {
	suite = t
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "order")
}

// inSynctestBubble runs f in a synctest bubble, with virtual time. Make assertions after
// it returns, not in f.
func inSynctestBubble(f func()) {
	bubble.Test(suite, func(*testing.T) { f() })
}

func version(id string) order.Item {
	return order.Item{Version: model.Ref{Model: "plan", Version: model.VersionID(id)}}
}

var (
	v1, v2  = version("1"), version("2")
	adapter = order.Item{Version: v2.Version, Adapter: "formal"}
	now     = time.Unix(10_000, 0)
	policy  = order.DefaultPolicy()
)

// newView returns the view of an engine whose desired item is v2 and that was observed in
// the given state an hour ago and now.
func newView(state order.State) order.View {
	observed := order.Observation{State: state, ReadStarted: now}
	earlier := order.Observation{State: state, ReadStarted: now.Add(-time.Hour)}
	return order.View{
		Desired:  order.Desired{Engine: "e", Generation: 5, Items: []order.Item{v2}},
		Observed: &observed,
		Record:   order.Record{}.Observe(earlier).Observe(observed),
	}
}

func planViews(views ...order.View) order.Decision {
	return order.Plan(order.Input{
		Now:    now,
		Term:   order.Term{Fence: 7, Since: now.Add(-time.Minute)},
		Policy: policy,
		Views:  views,
		Bucket: order.Bucket{Tokens: 2, UpdatedAt: now},
	})
}

func orderedItems(d order.Decision) [][]order.Item {
	var all [][]order.Item
	for _, o := range d.Orders {
		all = append(all, o.Items)
	}
	return all
}

type planTestCase struct {
	state  order.State
	change func(*order.View)
	phase  order.Phase
	orders [][]order.Item
}

func stateWith(active int, items ...order.Item) order.State {
	state := order.State{Target: items}
	for _, item := range items {
		state.Loaded = append(state.Loaded, order.Loaded{Item: item, Active: active})
	}
	return state
}

var _ = DescribeTable("Plan", func(c planTestCase) {
	v := newView(c.state)
	if c.change != nil {
		c.change(&v)
	}
	d := planViews(v)
	Expect(d.Statuses[0].Phase).To(Equal(c.phase))
	Expect(orderedItems(d)).To(Equal(c.orders))
},
	Entry("sends no order if the state is as desired", planTestCase{state: stateWith(1, v2), phase: order.PhaseReady}),
	Entry("loads missing items and unloads idle ones",
		planTestCase{state: stateWith(0, v1), phase: order.PhaseLoading, orders: [][]order.Item{{v2}}}),
	Entry("keeps items with requests in flight",
		planTestCase{state: stateWith(1, v1), phase: order.PhaseLoading, orders: [][]order.Item{{v1, v2}}}),
	Entry("keeps items that have been idle for less than the unload delay",
		planTestCase{state: stateWith(0, v1, v2), change: func(v *order.View) {
			v.Record.IdleSince[v1] = now.Add(1 - policy.UnloadDelay)
		}, phase: order.PhaseReady}),
	Entry("sends a new fencing token to an engine with fencing",
		planTestCase{state: stateWith(1, v2), change: func(v *order.View) {
			v.Desired.Fencing = true
		}, phase: order.PhaseFencing, orders: [][]order.Item{{v2}}}),
	Entry("sends no order to an engine with a higher fencing token",
		planTestCase{state: order.State{Fence: 8}, change: func(v *order.View) {
			v.Desired.Fencing = true
		}, phase: order.PhaseFenced}),
	Entry("sends no order to an engine with a higher generation",
		planTestCase{state: order.State{Generation: 6}, phase: order.PhaseDesiredOutdated}),
	Entry("sends no order if the state is too old", planTestCase{change: func(v *order.View) {
		v.Observed.ReadStarted = now.Add(-policy.MaxAge - 1)
	}, phase: order.PhaseStateUnavailable}),
	Entry("does not change the role of an engine with requests in flight",
		planTestCase{state: stateWith(1, v2), change: func(v *order.View) {
			v.Desired.Role = "decode"
		}, phase: order.PhaseDraining}),
	Entry("changes the role of an idle engine", planTestCase{state: stateWith(0, v2), change: func(v *order.View) {
		v.Desired.Role = "decode"
	}, phase: order.PhaseDraining, orders: [][]order.Item{{v2}}}),
	Entry("sends no different order while one of unknown outcome may arrive", planTestCase{change: func(v *order.View) {
		v.Record.UnknownOrder, v.Record.UnknownSentAt = &order.Order{Items: []order.Item{v1}}, now.Add(1-policy.LongestOrder)
	}, phase: order.PhaseOutcomeUnknown}),
	Entry("sends a different order once the one of unknown outcome must have ended",
		planTestCase{change: func(v *order.View) {
			v.Record.UnknownOrder, v.Record.UnknownSentAt = &order.Order{Items: []order.Item{v1}}, now.Add(-policy.LongestOrder)
		}, phase: order.PhaseLoading, orders: [][]order.Item{{v2}}}),
	Entry("sends no order during backoff", planTestCase{change: func(v *order.View) {
		v.Record.NotBefore = now.Add(1)
	}, phase: order.PhaseBackoff}),
	Entry("loads a version before its adapters if tokens are scarce", planTestCase{change: func(v *order.View) {
		v.Desired.Items = []order.Item{adapter, v2, v1}
	}, phase: order.PhaseLoading, orders: [][]order.Item{{v1, v2}}}),
)

var _ = Describe("Plan", func() {
	It("waits for orders of an earlier holder to end if the engine does not fence", func() {
		in := order.Input{Now: now, Policy: policy, Views: []order.View{newView(order.State{})},
			Bucket: order.Bucket{Tokens: 2, UpdatedAt: now}}
		in.Term.Since = now.Add(1 - policy.LongestOrder)
		Expect(order.Plan(in).Statuses[0].Phase).To(Equal(order.PhaseTakeover))
		in.Term.Since = now.Add(-policy.LongestOrder)
		Expect(order.Plan(in).Orders).To(HaveLen(1))
	})

	It("limits loads on all engines by tokens and by loads in progress", func() {
		Expect(planViews(newView(order.State{}), newView(order.State{}), newView(order.State{})).Orders).To(HaveLen(2))
		loading := newView(order.State{Target: []order.Item{v2}})
		Expect(planViews(loading, loading, loading, newView(order.State{}), newView(order.State{})).Orders).To(HaveLen(1))
	})

	It("returns as ready only engines in phase ready that were read since", func() {
		statuses := planViews(newView(stateWith(0, v2)), newView(stateWith(0, v1))).Statuses
		Expect(order.Ready(statuses, v2, now)).To(Equal([]upstream.ID{"e"}))
		Expect(order.Ready(statuses, v2, now.Add(1))).To(BeEmpty())
	})
})
