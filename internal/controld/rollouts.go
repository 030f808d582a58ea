package controld

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// reportPage is the number of reports read at once.
const reportPage = 500

// rollouts is the job that carries roll-outs on.
func (d *Daemon) rollouts(ctx context.Context, l *lease.Lease) error {
	docs, v := d.follow(ctx), newView()
	return d.every(ctx, l, d.settings.Jobs.RolloutPeriodMS.Duration(), func(ctx context.Context) {
		x := docs.index()
		if x == nil {
			return
		}
		d.refresh(ctx, v)
		for _, plan := range x.Doc.Rollouts {
			if l.Check() != nil {
				return
			}
			d.carryOn(ctx, x, v, plan)
		}
	})
}

// carryOn decides on one roll-out. A row that another holder changed meanwhile
// is left alone; the next round reads it again.
func (d *Daemon) carryOn(ctx context.Context, x *document.Index, v *view, plan rollout.Plan) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Jobs.StoreMS.Duration())
	defer cancel()
	row, version, err := d.progress(ctx, plan)
	if err != nil {
		d.metrics.rolloutFailed.Inc()
		return
	}
	reports, err := d.reports(ctx, plan.ID)
	if err != nil {
		d.metrics.rolloutFailed.Inc()
		return
	}
	now := d.clock.Now()
	decision := rollout.Decide(rollout.Input{
		Plan: plan, Row: row, Domains: rollout.DomainsOf(v.members), Reports: rollout.ReconcileReports(reports, v.members, now),
		WatchVerdict: v.watched(plan.ID, reports), Now: now,
		Withdrawn: func(id model.VersionID) bool {
			return x.Withdrawn(model.Ref{Model: plan.Model, Version: id})
		},
	}, rollout.Options{})
	d.metrics.decision(plan.ID, decision)
	if !decision.Changed {
		return
	}
	value, err := decision.Row.Encode()
	if err != nil {
		return
	}
	if _, err := d.table.Update(ctx, d.rows.Progress(plan.ID), value, version); err != nil {
		d.metrics.rolloutFailed.Inc()
		return
	}
	d.log.Info("roll-out decided", "rollout", plan.ID, "decision", decision.Kind, "reason", decision.Reason,
		"step", decision.Row.Step, "phase", decision.Row.Phase, "domain", decision.Domain)
}

// progress reads a roll-out's row, and writes the first one where there is none.
func (d *Daemon) progress(ctx context.Context, plan rollout.Plan) (rollout.Progress, store.Version, error) {
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
	return progress, row.Version, err
}

func (d *Daemon) reports(ctx context.Context, id rollout.ID) ([]rollout.Report, error) {
	var reports []rollout.Report
	after := ""
	for {
		page, err := d.table.Scan(ctx, d.rows.Reports(id), after, reportPage)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			var r rollout.Report
			if json.Unmarshal(row.Value, &r) == nil {
				reports = append(reports, r)
			}
		}
		if len(page) < reportPage {
			return reports, nil
		}
		after = page[len(page)-1].Key
	}
}
