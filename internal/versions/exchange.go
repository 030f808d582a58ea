package versions

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/rollout"
)

// groupWrites bounds the reports written by all VMs together, per second.
const groupWrites = 50

// Exchange reads roll-out progress and writes this VM's reports.
type Exchange struct {
	Versions *Versions
	Table    store.Table
	Rows     rows.Names
	// Members returns the number of live VMs.
	Members func() int
	// Period is the least time between two rounds.
	Period  time.Duration
	Timeout time.Duration
}

// Run works until ctx ends. A round that the store does not take is made up
// for by the next one, as reports hold sums.
func (e *Exchange) Run(ctx context.Context) {
	for {
		e.Round(ctx)
		members := e.Members()
		pause := max(e.Period, time.Duration(members)*time.Second/groupWrites)
		select {
		case <-ctx.Done():
			return
		case <-e.Versions.clock.After(pause):
		}
	}
}

// Round reads the progress of every roll-out and writes a report on each.
func (e *Exchange) Round(ctx context.Context) {
	e.Versions.Watch()
	for id, guard := range e.Versions.all() {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		e.readProgress(ctx, id, guard)
		e.writeReport(ctx, id, guard)
		cancel()
	}
}

func (v *Versions) all() map[rollout.ID]*rollout.Guard {
	v.mu.RLock()
	defer v.mu.RUnlock()
	guards := make(map[rollout.ID]*rollout.Guard, len(v.guards))
	for id, guard := range v.guards {
		guards[id] = guard
	}
	return guards
}

func (e *Exchange) readProgress(ctx context.Context, id rollout.ID, guard *rollout.Guard) {
	row, err := e.Table.Get(ctx, e.Rows.Progress(id))
	if err != nil {
		return
	}
	progress, err := rollout.DecodeProgress(row.Value)
	if err != nil {
		return
	}
	if guard.Install(progress) {
		e.Versions.log.Info("roll-out progress", "rollout", id, "phase", progress.Phase, "step", progress.Step, "held_for", progress.HeldFor)
	}
}

// writeReport replaces this VM's report. Only this VM writes the row, so a
// conflict means that an earlier write took effect late; the next round settles it.
func (e *Exchange) writeReport(ctx context.Context, id rollout.ID, guard *rollout.Guard) {
	value, err := json.Marshal(guard.Report(e.Versions.clock.Now()))
	if err != nil {
		return
	}
	key := e.Rows.Report(id, e.Versions.self.ID)
	row, err := e.Table.Get(ctx, key)
	switch {
	case err == nil:
		_, _ = e.Table.Update(ctx, key, value, row.Version)
	case errorx.IsOfType(err, store.ErrNotFound):
		_, _ = e.Table.Insert(ctx, key, value)
	}
}
