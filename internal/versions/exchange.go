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

// maxReportsPerSecond limits the rate of rounds of all VMs together, each of which
// writes one report per roll-out.
const maxReportsPerSecond = 50

// Exchange reads the progress of roll-outs and writes this VM's reports.
type Exchange struct {
	Versions *Versions
	Table    store.Table
	Rows     rows.Keys
	// MemberCount returns the current number of live VMs.
	MemberCount func() int
	// Period is the minimum pause between two rounds.
	Period time.Duration
	// Timeout limits the store calls of one roll-out in a round.
	Timeout time.Duration

	// unreadable has the version of each progress row that can't be decoded. Only Round uses
	// it, one call at a time.
	unreadable map[rollout.ID]store.Version
}

// Run runs rounds until ctx ends. Reports hold cumulative counts, so that nothing is
// lost if the writes of a round fail: the next round includes them.
func (e *Exchange) Run(ctx context.Context) {
	for {
		e.Round(ctx)
		members := e.MemberCount()
		interval := max(e.Period, time.Duration(members)*time.Second/maxReportsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-e.Versions.clock.After(interval):
		}
	}
}

// Round judges the versions in service, then reads the progress and writes the
// report of each roll-out. Errors are not returned; the next round tries again.
func (e *Exchange) Round(ctx context.Context) {
	e.Versions.EvaluateWatches()
	for id, guard := range e.Versions.guardsByID() {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		e.readProgress(ctx, id, guard)
		e.writeReport(ctx, id, guard)
		cancel()
	}
}

func (v *Versions) guardsByID() map[rollout.ID]*rollout.Guard {
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
	if err == nil && progress.ID != id {
		err = rollout.ErrInvalid.New("progress of roll-out %q under the key of another one", progress.ID)
	}
	if err != nil {
		e.logUnreadable(id, row.Version, err)
		return
	}
	if guard.Install(progress) {
		e.Versions.log.Info("roll-out progress installed", "rollout", id,
			"phase", progress.Phase, "step", progress.Step, "held_for", progress.HeldFor)
	}
}

// logUnreadable logs a progress row that can't be decoded, each version of the row once.
func (e *Exchange) logUnreadable(id rollout.ID, version store.Version, err error) {
	if e.unreadable[id] == version {
		return
	}
	if e.unreadable == nil {
		e.unreadable = make(map[rollout.ID]store.Version)
	}
	e.unreadable[id] = version
	e.Versions.log.Error("roll-out progress ignored, can't be decoded", "rollout", id, "version", version, "error", err)
}

// writeReport replaces this VM's report. No other VM writes this row, so a conflict
// means that an earlier write took effect late; the next round writes again.
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
