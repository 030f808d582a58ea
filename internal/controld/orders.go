package controld

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

// orders is the job that brings the engines of one failure domain to the state
// that the document declares.
func (d *Daemon) orders(id domain.ID) lease.Func {
	return func(ctx context.Context, l *lease.Lease) error {
		docs := d.follow(ctx)
		policy := order.DefaultPolicy()
		policy.LongestOrder = d.settings.Jobs.LongestOrderMS.Duration()
		policy.LoadsPerSecond = float64(d.settings.Jobs.LoadsPerMinute) / 60
		reconciler, err := order.NewReconciler(order.Options{
			Source: &desired{docs: docs, domain: id}, Fleet: &fleet{daemon: d},
			Policy: policy, Interval: d.settings.Jobs.OrderPeriodMS.Duration(), Clock: d.clock, Observer: d.metrics,
		})
		if err != nil {
			return err
		}
		return reconciler.Run(ctx, l)
	}
}

// desired implements order.Source by the document.
type desired struct {
	docs   *documents
	domain domain.ID
}

// Desired implements order.Source. The document's revision is the generation;
// an engine whose desired state did not change gets no order for it.
func (s *desired) Desired(context.Context) ([]order.Desired, error) {
	x := s.docs.index()
	if x == nil {
		return nil, errNoDocument.New("the document was not read yet")
	}
	var all []order.Desired
	for _, u := range x.Doc.Upstreams {
		if u.Kind != upstream.Engine || u.Domain != s.domain || u.Leaving {
			continue
		}
		want := order.Desired{Engine: u.ID, Fencing: u.Fencing, Generation: x.Number}
		for _, ref := range u.Versions {
			want.Items = append(want.Items, order.Item{Version: ref})
		}
		all = append(all, want)
	}
	return all, nil
}

// fleet implements order.Fleet.
type fleet struct {
	daemon *Daemon
}

// Engine implements order.Fleet.
func (f *fleet) Engine(id upstream.ID) order.Engine {
	address, _ := f.daemon.settings.Upstreams.Address(id)
	return &engineclient.Orders{Pools: f.daemon.pools, Address: address}
}
