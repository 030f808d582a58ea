package rollout

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
)

// watch decides for a finished roll-out: a version that turned bad gives way to
// the one it replaced, in the failure domain that shows it or everywhere, if that
// may still be used.
func (d decider) watch() Decision {
	if d.withdrawn(d.in.Plan.To) {
		return d.back(ReasonWithdrawn, Verdict{}, "")
	}
	if verdict, at := d.bad(); verdict.Bad {
		return d.back(ReasonBad, verdict, at)
	}
	if at, verdict, found := d.newStop(); found {
		return d.stopDomain(at, verdict)
	}
	return d.keep(d.row.HeldFor)
}

func (d decider) keep(reason Reason) Decision {
	return Decision{Kind: Keep, Reason: reason, Row: d.row}
}

// write returns a decision that changes the row.
func (d decider) write(kind Kind, reason Reason, at domain.ID, row Progress) Decision {
	row.Generation = d.row.Generation + 1
	return Decision{Kind: kind, Reason: reason, Row: row, Changed: true, Domain: at}
}

// back rolls back. Where the replaced version is withdrawn there is nothing to
// return to: a bad version then stays in service and operators are told, as a
// version that is worse is better than none; an abort or a withdrawal is theirs
// to give and is obeyed.
func (d decider) back(reason Reason, verdict Verdict, at domain.ID) Decision {
	noWayBack := d.withdrawn(d.in.Plan.From)
	if noWayBack && reason == ReasonBad {
		decision := d.hold(ReasonNoWayBack, at)
		decision.Stalled = true
		return decision
	}
	row := d.row
	row.Phase = RolledBack
	row.HeldFor, row.HeldSince = reason, d.in.Now
	row.Verdict = verdict
	decision := d.write(RollBack, reason, at, row)
	decision.Stalled = noWayBack
	return decision
}

func (d decider) stopDomain(at domain.ID, verdict Verdict) Decision {
	row := d.row
	row.Stopped = append(slices.Clone(row.Stopped), at)
	row.HeldFor, row.HeldSince = ReasonDomainStop, d.in.Now
	row.Verdict = verdict
	return d.write(StopDomain, ReasonDomainStop, at, row)
}

// holdWriteEvery is the least time between two writes that change nothing but
// the reason to hold.
const holdWriteEvery = 30 * time.Second

// hold leaves the step as it is. The reason goes into the row when it has
// changed, for those who read the row alone, but not often.
func (d decider) hold(reason Reason, at domain.ID) Decision {
	decision := Decision{Kind: Hold, Reason: reason, Row: d.row, Domain: at}
	if d.row.HeldFor != reason && d.in.Now.Sub(d.row.HeldSince) >= holdWriteEvery {
		row := d.row
		row.HeldFor, row.HeldSince = reason, d.in.Now
		decision = d.write(Hold, reason, at, row)
	}
	decision.Stalled = d.overdue(reason)
	return decision
}

// overdue tells whether the step should have ended StallAfter ago, whatever the
// reasons that took turns since.
func (d decider) overdue(reason Reason) bool {
	if reason == ReasonDwell || reason == ReasonPaused {
		return false
	}
	due := d.row.Since
	if d.row.Step < len(d.in.Plan.Steps) {
		due = due.Add(d.in.Plan.Steps[d.row.Step].Dwell())
	}
	return d.in.Now.Sub(due) >= d.o.StallAfter
}

func (d decider) advance() Decision {
	row := d.row
	row.HeldFor, row.HeldSince = ReasonNone, d.in.Now
	if row.Step == len(d.in.Plan.Steps)-1 {
		row.Phase = Done
		row.StepGeneration = d.row.Generation + 1
		return d.write(Finish, ReasonNone, "", row)
	}
	row.Step++
	row.Since = d.in.Now
	row.StepGeneration = d.row.Generation + 1
	return d.write(Advance, ReasonNone, "", row)
}
