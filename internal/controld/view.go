package controld

import (
	"context"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// staleAfter is the age from which the report of a VM that is not listed is
// that of a VM that has gone. The list lags, so a younger report counts as heard.
const staleAfter = 30 * time.Second

// view is what the holder of the roll-out job knows beside the rows. It starts
// anew with each holder.
type view struct {
	members []platform.Member
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
	v.members, v.readAt = members, now
}

// domains returns the failure domains that hold listed VMs, sorted.
func (v *view) domains() []domain.ID {
	var ids []domain.ID
	for _, m := range v.members {
		ids = append(ids, domain.ID(m.Domain))
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// complete marks the reports of VMs that have gone, and adds an empty one for
// each live VM that has not reported: its silence counts. Before the list was
// read nobody counts as gone.
func (v *view) complete(reports []rollout.Report, now time.Time) []rollout.Report {
	listed := make(map[vm.ID]platform.Member, len(v.members))
	for _, m := range v.members {
		listed[vm.ID(m.ID)] = m
	}
	for i, r := range reports {
		_, live := listed[r.VM]
		reports[i].Gone = !live && !v.readAt.IsZero() && now.Sub(r.At) > staleAfter
		delete(listed, r.VM)
	}
	for id, m := range listed {
		if m.State == platform.MemberLive {
			reports = append(reports, rollout.Report{VM: id, Domain: domain.ID(m.Domain)})
		}
	}
	return reports
}

// watched returns the verdict on what the reports added since the last round.
func (v *view) watched(id rollout.ID, reports []rollout.Report) rollout.Verdict {
	w := v.watches[id]
	if w == nil {
		w = &versionWatch{watch: rollout.NewWatch(rollout.WatchOptions{}), deltas: rollout.NewDeltas()}
		v.watches[id] = w
	}
	return w.watch.Observe(w.deltas.Added(reports, func(r rollout.Report) rollout.Counts { return r.Fresh }))
}
