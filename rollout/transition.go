package rollout

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
)

// decideDone decides on a finished roll-out. A new version that was withdrawn or has
// become bad is replaced by the previous one, a bad one possibly in the failure
// domain where it is bad only. rollBack says what happens if the previous version is
// withdrawn.
func (d decider) decideDone() Decision {
	if d.isWithdrawn(d.in.Plan.To) {
		return d.rollBack(ReasonWithdrawn, Verdict{}, "")
	}
	if verdict, domainID := d.overallVerdict(); verdict.Bad {
		return d.rollBack(ReasonBad, verdict, domainID)
	}
	if domainID, verdict, found := d.domainToStop(); found {
		return d.stopDomain(domainID, verdict)
	}
	return d.keep(d.row.HeldFor)
}

func (d decider) keep(reason Reason) Decision {
	return Decision{Kind: Keep, Reason: reason, Row: d.row}
}

// changeRow returns a decision that changes the row, with the next generation.
func (d decider) changeRow(kind Kind, reason Reason, domainID domain.ID, row Progress) Decision {
	row.Generation = d.row.Generation + 1
	return Decision{Kind: kind, Reason: reason, Row: row, Changed: true, Domain: domainID}
}

// rollBack rolls back to the replaced version. If that is withdrawn there is no
// version to return to. A bad version then stays in service and operators are
// notified, because a worse version is better than none. An abort or a withdrawal
// is an explicit command of operators and is carried out all the same.
func (d decider) rollBack(reason Reason, verdict Verdict, domainID domain.ID) Decision {
	oldWithdrawn := d.isWithdrawn(d.in.Plan.From)
	if oldWithdrawn && reason == ReasonBad {
		decision := d.hold(ReasonNoFallbackVersion, domainID)
		decision.Stalled = true
		return decision
	}
	row := d.row
	row.Phase = RolledBack
	row.HeldFor, row.HeldSince = reason, d.in.Now
	row.Verdict = verdict
	decision := d.changeRow(RollBack, reason, domainID, row)
	decision.Stalled = oldWithdrawn
	return decision
}

func (d decider) stopDomain(domainID domain.ID, verdict Verdict) Decision {
	row := d.row
	row.Stopped = append(slices.Clone(row.Stopped), domainID)
	row.HeldFor, row.HeldSince = ReasonDomainStop, d.in.Now
	row.Verdict = verdict
	return d.changeRow(StopDomain, ReasonDomainStop, domainID, row)
}

// minHoldWriteInterval is the minimum time between two writes that change only the
// reason to hold.
const minHoldWriteInterval = 30 * time.Second

// hold stays on the current step. A changed reason is written into the row, for
// readers that see only the row, but at most once per minHoldWriteInterval.
func (d decider) hold(reason Reason, domainID domain.ID) Decision {
	decision := Decision{Kind: Hold, Reason: reason, Row: d.row, Domain: domainID}
	if d.row.HeldFor != reason && d.in.Now.Sub(d.row.HeldSince) >= minHoldWriteInterval {
		row := d.row
		row.HeldFor, row.HeldSince = reason, d.in.Now
		decision = d.changeRow(Hold, reason, domainID, row)
	}
	decision.Stalled = d.isStalled(reason)
	return decision
}

// isStalled reports whether the step is overdue by at least StallAfter. The time
// counts from the end of the dwell, even if the reason to hold has changed since.
func (d decider) isStalled(reason Reason) bool {
	if reason == ReasonDwell || reason == ReasonPaused {
		return false
	}
	due := d.row.Since
	if d.row.Step < len(d.in.Plan.Steps) {
		due = due.Add(d.in.Plan.Steps[d.row.Step].Dwell())
	}
	return d.in.Now.Sub(due) >= d.options.StallAfter
}

// advance starts the next step, or ends the roll-out after the last one.
func (d decider) advance() Decision {
	row := d.row
	row.HeldFor, row.HeldSince = ReasonNone, d.in.Now
	if row.Step == len(d.in.Plan.Steps)-1 {
		row.Phase = Done
		row.StepGeneration = d.row.Generation + 1
		return d.changeRow(Finish, ReasonNone, "", row)
	}
	row.Step++
	row.Since = d.in.Now
	row.StepGeneration = d.row.Generation + 1
	return d.changeRow(Advance, ReasonNone, "", row)
}
