package controld

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// view is what the holder of the roll-out job knows beside the rows. It starts
// anew with each holder.
type view struct {
	members []rollout.Member
	readAt  time.Time
	watches map[rollout.ID]*versionWatch
}

// versionWatch watches a roll-out's new version over all VMs together.
type versionWatch struct {
	watch  *rollout.Watch
	deltas *rollout.Deltas
}

func newView() *view {
	return &view{watches: make(map[rollout.ID]*versionWatch)}
}

// refresh reads the list of VMs where it is older than listPeriod. Without it
// the last one holds.
func (d *Daemon) refresh(ctx context.Context, v *view) {
	now := d.clock.Now()
	if !v.readAt.IsZero() && now.Sub(v.readAt) < listPeriod {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Jobs.StoreMS.Duration())
	defer cancel()
	members, err := d.list.List(ctx)
	if err != nil {
		d.metrics.listFailed.Inc()
		return
	}
	v.members, v.readAt = nil, now
	for _, m := range members {
		v.members = append(v.members, rollout.Member{
			VM: vm.ID(m.ID), Domain: domain.ID(m.Domain), Leaving: m.State == platform.MemberLeaving,
		})
	}
}

// watched returns the verdict on what the reports added since the last round.
func (v *view) watched(id rollout.ID, reports []rollout.Report) rollout.Verdict {
	w := v.watches[id]
	if w == nil {
		w = &versionWatch{watch: rollout.NewWatch(rollout.WatchOptions{}), deltas: rollout.NewDeltas()}
		v.watches[id] = w
	}
	return w.watch.Observe(w.deltas.Added(reports, func(r rollout.Report) rollout.Counts { return r.NewCounts }))
}
