package order_test

import (
	"fmt"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/order"
)

func ExamplePlan() {
	now := time.Unix(1000, 0)
	item := order.Item{Version: model.Ref{Model: "plan", Version: "2"}}
	decision := order.Plan(order.Input{
		Now:    now,
		Term:   order.Term{Fence: 7, Since: now.Add(-time.Minute)},
		Policy: order.DefaultPolicy(),
		Bucket: order.Bucket{Tokens: 1, UpdatedAt: now},
		Views: []order.View{{
			Desired:  order.Desired{Engine: "engine-1", Generation: 3, Items: []order.Item{item}},
			Observed: &order.Observation{ReadStarted: now},
		}},
	})
	fmt.Println(decision.Orders[0].Items, "with fencing token", decision.Orders[0].Fence)
	fmt.Println(decision.Statuses[0].Phase)
	// Output:
	// [plan@2] with fencing token 7
	// loading
}
