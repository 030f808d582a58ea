package controld

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// reportPage is the maximum number of reports per read.
const reportPage = 500

// runRollouts is the job that decides on the next step of each roll-out.
func (d *Daemon) runRollouts(ctx context.Context, l *lease.Lease) error {
	follower, state := d.followDocument(ctx), newRolloutState()
	return d.repeatWhileHeld(ctx, l, d.settings.Jobs.RolloutPeriodMS.Duration(), func(ctx context.Context) {
		index := follower.index()
		if index == nil {
			return
		}
		d.refreshMembers(ctx, state)
		for _, plan := range index.Doc.Rollouts {
			if l.Check() != nil {
				return
			}
			d.advanceRollout(ctx, index, state, plan)
		}
	})
}

// advanceRollout decides on one roll-out and stores its new progress. If the row has
// changed since it was read, for instance by another holder, nothing is written; the
// next round reads the row again.
func (d *Daemon) advanceRollout(ctx context.Context, index *document.Index, state *rolloutState, plan rollout.Plan) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Jobs.StoreMS.Duration())
	defer cancel()
	row, version, err := d.readProgress(ctx, plan)
	if err != nil {
		d.metrics.rolloutFailures.Inc()
		return
	}
	reports, err := d.readReports(ctx, plan.ID)
	if err != nil {
		d.metrics.rolloutFailures.Inc()
		return
	}
	now := d.clock.Now()
	decision := rollout.Decide(rollout.Input{
		Plan: plan, Row: row, Domains: rollout.DomainsOf(state.members), Reports: rollout.ReconcileReports(reports, state.members, now),
		WatchVerdict: state.watchVerdict(plan.ID, reports), Now: now,
		Withdrawn: func(id model.VersionID) bool {
			return index.Withdrawn(model.Ref{Model: plan.Model, Version: id})
		},
	}, rollout.Options{})
	d.metrics.recordDecision(plan.ID, decision)
	if !decision.Changed {
		return
	}
	value, err := decision.Row.Encode()
	if err != nil {
		return
	}
	if _, err := d.table.Update(ctx, d.rows.Progress(plan.ID), value, version); err != nil {
		d.metrics.rolloutFailures.Inc()
		return
	}
	d.log.Info("roll-out decision stored", "rollout", plan.ID, "decision", decision.Kind, "reason", decision.Reason,
		"step", decision.Row.Step, "phase", decision.Row.Phase, "domain", decision.Domain)
}

// readProgress reads the row with a roll-out's progress. If there is none, it inserts
// the initial row.
func (d *Daemon) readProgress(ctx context.Context, plan rollout.Plan) (rollout.Progress, store.Version, error) {
	key := d.rows.Progress(plan.ID)
	row, err := d.table.Get(ctx, key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		first := rollout.Begin(plan, d.clock.Now())
		value, err := first.Encode()
		if err != nil {
			return first, "", err
		}
		version, err := d.table.Insert(ctx, key, value)
		return first, version, err
	}
	if err != nil {
		return rollout.Progress{}, "", err
	}
	progress, err := rollout.DecodeProgress(row.Value)
	if err == nil && progress.ID != plan.ID {
		err = rollout.ErrInvalid.New("progress of roll-out %q under the key of another one", progress.ID)
	}
	if err != nil {
		d.oddRows.record(key, row.Version, err)
	}
	return progress, row.Version, err
}

// readReports reads all VMs' reports on a roll-out. Reports that can't be decoded, or that
// another VM than the key's has made, are skipped.
func (d *Daemon) readReports(ctx context.Context, id rollout.ID) ([]rollout.Report, error) {
	var reports []rollout.Report
	after := ""
	for {
		page, err := d.table.Scan(ctx, d.rows.Reports(id), after, reportPage)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			r, err := rollout.DecodeReport(row.Value)
			if err == nil && d.rows.Report(id, r.VM) != row.Key {
				err = rollout.ErrInvalid.New("report of VM %q under the key of another one", r.VM)
			}
			if err != nil {
				d.oddRows.record(row.Key, row.Version, err)
				continue
			}
			reports = append(reports, r)
		}
		if len(page) < reportPage {
			return reports, nil
		}
		after = page[len(page)-1].Key
	}
}
