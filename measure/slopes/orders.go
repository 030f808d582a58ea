package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

// orderRounds is the number of planning rounds over which the cost is averaged.
const orderRounds = 20

// orderPlans measures one planning round of engine orders while all engines are
// in their desired state.
func orderPlans() Probe {
	return Probe{Name: "order", SizeName: "engines", Sizes: []int{10, 100, 300, 1000}, Measure: measureOrders}
}

func measureOrders(_ context.Context, size int, record Recorder) error {
	now := time.Unix(0, 0).Add(time.Hour)
	in := order.Input{
		Now: now, Term: order.Term{Fence: 1, Since: time.Unix(0, 0)}, Policy: order.DefaultPolicy(),
	}
	record("heap", Bytes, heapSize(func() []order.View {
		in.Views = sampleViews(size, now)
		return in.Views
	}))
	cost, err := cpuPerOperation(orderRounds, func(int) error {
		order.Plan(in)
		return nil
	})
	record("plan_cpu", Microseconds, cost)
	return err
}

// sampleViews returns the views of engines that have loaded what is desired.
func sampleViews(size int, now time.Time) []order.View {
	views := make([]order.View, 0, size)
	for i := range size {
		items := []order.Item{
			{Version: model.Ref{Model: "model", Version: "v1"}}, {Version: model.Ref{Model: "model", Version: "v2"}},
		}
		state := order.State{Fence: 1, Generation: 1, Target: items}
		for _, item := range items {
			state.Loaded = append(state.Loaded, order.Loaded{Item: item})
		}
		views = append(views, order.View{
			Desired: order.Desired{
				Engine: upstream.ID(fmt.Sprintf("engine-%05d", i)), Fencing: true, Generation: 1, Items: items,
			},
			Observed: &order.Observation{State: state, ReadStarted: now},
		})
	}
	return views
}
