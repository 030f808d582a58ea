package controld

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// rolloutState is the state of the roll-out job that is not stored in rows. A new
// holder of the job starts with an empty one.
type rolloutState struct {
	members []rollout.Member // the list of VMs
	readAt  time.Time        // when members was read; zero if never
	watches map[rollout.ID]*versionWatch
}

// versionWatch evaluates a roll-out's new version by the counts of all VMs together.
type versionWatch struct {
	watch  *rollout.Watch
	deltas *rollout.Deltas
}

// newRolloutState returns a state without members and watches.
func newRolloutState() *rolloutState {
	return &rolloutState{watches: make(map[rollout.ID]*versionWatch)}
}

// refreshMembers reads the list of VMs if the last one is older than vmListPeriod. If
// the list can't be read, the last one remains.
func (d *Daemon) refreshMembers(ctx context.Context, state *rolloutState) {
	now := d.clock.Now()
	if !state.readAt.IsZero() && now.Sub(state.readAt) < vmListPeriod {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Jobs.StoreMS.Duration())
	defer cancel()
	members, err := d.vmList.List(ctx)
	if err != nil {
		d.metrics.vmListFailures.Inc()
		return
	}
	state.members, state.readAt = nil, now
	for _, m := range members {
		state.members = append(state.members, rollout.Member{
			VM: vm.ID(m.ID), Domain: domain.ID(m.Domain), Leaving: m.State == platform.MemberLeaving,
		})
	}
}

// watchVerdict passes the counts that the reports have added since the last round to
// the roll-out's watch and returns its verdict.
func (s *rolloutState) watchVerdict(id rollout.ID, reports []rollout.Report) rollout.Verdict {
	w := s.watches[id]
	if w == nil {
		w = &versionWatch{watch: rollout.NewWatch(rollout.WatchOptions{}), deltas: rollout.NewDeltas()}
		s.watches[id] = w
	}
	return w.watch.Observe(w.deltas.Added(reports, func(r rollout.Report) rollout.Counts { return r.NewCounts }))
}
