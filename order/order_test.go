package order_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

// suite is the test that bubbles of synctest belong to.
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

// inBubble runs f under virtual time. Assertions belong after it.
func inBubble(f func()) {
	synctest.Test(suite, func(*testing.T) { f() })
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

// view is an engine that wants v2, was read now, and has been so for long.
func view(state order.State) order.View {
	observed := order.Observation{State: state, Began: now}
	earlier := order.Observation{State: state, Began: now.Add(-time.Hour)}
	return order.View{
		Desired:  order.Desired{Engine: "e", Generation: 5, Items: []order.Item{v2}},
		Observed: &observed,
		Record:   order.Record{}.Observe(earlier).Observe(observed),
	}
}

func plan(views ...order.View) order.Decision {
	return order.Plan(order.Input{
		Now:    now,
		Term:   order.Term{Fence: 7, Since: now.Add(-time.Minute)},
		Policy: policy,
		Views:  views,
		Bucket: order.Bucket{Tokens: 2, At: now},
	})
}

func items(d order.Decision) [][]order.Item {
	var all [][]order.Item
	for _, o := range d.Orders {
		all = append(all, o.Items)
	}
	return all
}

type planCase struct {
	state  order.State
	change func(*order.View)
	phase  order.Phase
	orders [][]order.Item
}

func holding(active int, held ...order.Item) order.State {
	state := order.State{Target: held}
	for _, item := range held {
		state.Loaded = append(state.Loaded, order.Loaded{Item: item, Active: active})
	}
	return state
}

var _ = DescribeTable("Plan", func(c planCase) {
	v := view(c.state)
	if c.change != nil {
		c.change(&v)
	}
	d := plan(v)
	Expect(d.Statuses[0].Phase).To(Equal(c.phase))
	Expect(items(d)).To(Equal(c.orders))
},
	Entry("leaves a right state alone", planCase{state: holding(1, v2), phase: order.PhaseReady}),
	Entry("loads what is missing and unloads what is idle",
		planCase{state: holding(0, v1), phase: order.PhaseLoading, orders: [][]order.Item{{v2}}}),
	Entry("keeps what has requests in flight",
		planCase{state: holding(1, v1), phase: order.PhaseLoading, orders: [][]order.Item{{v1, v2}}}),
	Entry("keeps what has been idle for too short", planCase{state: holding(0, v1, v2), change: func(v *order.View) {
		v.Record.IdleSince[v1] = now.Add(1 - policy.UnloadDelay)
	}, phase: order.PhaseReady}),
	Entry("sends a new token to an engine that fences", planCase{state: holding(1, v2), change: func(v *order.View) {
		v.Desired.Fencing = true
	}, phase: order.PhaseFencing, orders: [][]order.Item{{v2}}}),
	Entry("stands back from a higher token", planCase{state: order.State{Fence: 8}, change: func(v *order.View) {
		v.Desired.Fencing = true
	}, phase: order.PhaseFenced}),
	Entry("stands back from a higher generation", planCase{state: order.State{Generation: 6}, phase: order.PhaseBehind}),
	Entry("decides nothing on an old state", planCase{change: func(v *order.View) {
		v.Observed.Began = now.Add(-policy.MaxAge - 1)
	}, phase: order.PhaseUnread}),
	Entry("waits with its role for idleness", planCase{state: holding(1, v2), change: func(v *order.View) {
		v.Desired.Role = "decode"
	}, phase: order.PhaseDraining}),
	Entry("changes the role of an idle engine", planCase{state: holding(0, v2), change: func(v *order.View) {
		v.Desired.Role = "decode"
	}, phase: order.PhaseDraining, orders: [][]order.Item{{v2}}}),
	Entry("waits for an order of unknown outcome before a different one", planCase{change: func(v *order.View) {
		v.Record.Unknown, v.Record.UnknownSince = &order.Order{Items: []order.Item{v1}}, now.Add(1-policy.LongestOrder)
	}, phase: order.PhaseUnsettled}),
	Entry("goes on when that order must have ended", planCase{change: func(v *order.View) {
		v.Record.Unknown, v.Record.UnknownSince = &order.Order{Items: []order.Item{v1}}, now.Add(-policy.LongestOrder)
	}, phase: order.PhaseLoading, orders: [][]order.Item{{v2}}}),
	Entry("leaves a failing engine alone for a while", planCase{change: func(v *order.View) {
		v.Record.NotBefore = now.Add(1)
	}, phase: order.PhaseBackoff}),
	Entry("loads a version before its adapters, with one token left", planCase{change: func(v *order.View) {
		v.Desired.Items = []order.Item{adapter, v2, v1}
	}, phase: order.PhaseLoading, orders: [][]order.Item{{v1, v2}}}),
)

var _ = Describe("Plan", func() {
	It("waits out the longest order of an earlier holder where the engine does not fence", func() {
		in := order.Input{Now: now, Policy: policy, Views: []order.View{view(order.State{})}, Bucket: order.Bucket{Tokens: 2, At: now}}
		in.Term.Since = now.Add(1 - policy.LongestOrder)
		Expect(order.Plan(in).Statuses[0].Phase).To(Equal(order.PhaseTakeover))
		in.Term.Since = now.Add(-policy.LongestOrder)
		Expect(order.Plan(in).Orders).To(HaveLen(1))
	})

	It("paces loads over all engines by tokens and by loads under way", func() {
		Expect(plan(view(order.State{}), view(order.State{}), view(order.State{})).Orders).To(HaveLen(2))
		loading := view(order.State{Target: []order.Item{v2}})
		Expect(plan(loading, loading, loading, view(order.State{}), view(order.State{})).Orders).To(HaveLen(1))
	})

	It("tells a roll-out only of engines that are ready and were read since", func() {
		statuses := plan(view(holding(0, v2)), view(holding(0, v1))).Statuses
		Expect(order.Ready(statuses, v2, now)).To(Equal([]upstream.ID{"e"}))
		Expect(order.Ready(statuses, v2, now.Add(1))).To(BeEmpty())
	})
})
