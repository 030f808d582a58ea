package controld

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

// ordersJob returns the job that sends orders to the engines of one failure domain,
// until they are in the state that the document declares.
func (d *Daemon) ordersJob(id domain.ID) lease.Func {
	return func(ctx context.Context, l *lease.Lease) error {
		follower := d.followDocument(ctx)
		policy := order.DefaultPolicy()
		policy.LongestOrder = d.settings.Jobs.LongestOrderMS.Duration()
		policy.LoadsPerSecond = float64(d.settings.Jobs.LoadsPerMinute) / 60
		reconciler, err := order.NewReconciler(order.Options{
			Source: &desiredStates{document: follower, domain: id}, Fleet: &fleet{daemon: d},
			Policy: policy, Interval: d.settings.Jobs.OrderPeriodMS.Duration(), Clock: d.clock, Observer: d.metrics,
		})
		if err != nil {
			return err
		}
		return reconciler.Run(ctx, l)
	}
}

// desiredStates derives the desired states of the engines of one failure domain from
// the document. It implements order.Source.
type desiredStates struct {
	document *documentFollower
	domain   domain.ID
}

// Desired implements order.Source. It omits engines that are leaving. The generation is
// the revision number of the document; an engine gets no order for a new revision that
// doesn't change its desired state.
func (s *desiredStates) Desired(context.Context) ([]order.Desired, error) {
	index := s.document.index()
	if index == nil {
		return nil, errNoDocument.New("no configuration document has been read yet")
	}
	var states []order.Desired
	for _, u := range index.Doc.Upstreams {
		if u.Kind != upstream.Engine || u.Domain != s.domain || u.Leaving {
			continue
		}
		state := order.Desired{Engine: u.ID, Fencing: u.Fencing, Generation: index.Number}
		for _, ref := range u.Versions {
			state.Items = append(state.Items, order.Item{Version: ref})
		}
		states = append(states, state)
	}
	return states, nil
}

// fleet connects to the engines at the addresses in the settings. It implements
// order.Fleet.
type fleet struct {
	daemon *Daemon
}

// Engine implements order.Fleet.
func (f *fleet) Engine(id upstream.ID) order.Engine {
	address, _ := f.daemon.settings.Upstreams.Address(id)
	return &engineclient.Orders{Pools: f.daemon.pools, Address: address}
}
