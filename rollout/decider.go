package rollout

import (
	"slices"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// decider holds the arguments of one decision.
type decider struct {
	in  Input
	o   Options
	row Progress
}

func (d decider) withdrawn(v model.VersionID) bool {
	return d.in.Withdrawn != nil && d.in.Withdrawn(v)
}

// running decides for a roll-out under way. Grounds to stop come before grounds
// to hold, and these before going on.
func (d decider) running() Decision {
	if reason := d.endReason(); reason != ReasonNone {
		return d.back(reason, Verdict{}, "")
	}
	if verdict, at := d.bad(); verdict.Bad {
		return d.back(ReasonBad, verdict, at)
	}
	if at, verdict, found := d.newStop(); found {
		return d.stopDomain(at, verdict)
	}
	if reason, at := d.holdReason(); reason != ReasonNone {
		return d.hold(reason, at)
	}
	return d.advance()
}

// endReason returns why the roll-out ends whatever the evidence says.
func (d decider) endReason() Reason {
	switch {
	case d.in.Plan.Aborted:
		return ReasonAborted
	case d.withdrawn(d.in.Plan.To):
		return ReasonWithdrawn
	default:
		return ReasonNone
	}
}

// bad tells whether the new version is bad everywhere: by all evidence
// together, by the watch, or in domainsToRollBack domains.
func (d decider) bad() (Verdict, domain.ID) {
	if d.in.Watched.Bad {
		return d.in.Watched, ""
	}
	fresh, old := d.total()
	if verdict := Compare(fresh, old, d.row.Baseline, d.o.Tolerance, d.o.Evidence); verdict.Bad {
		return verdict, ""
	}
	stops := len(d.row.Stopped)
	for _, id := range d.reporting() {
		if d.row.StoppedIn(id) {
			continue
		}
		verdict := d.judge(id)
		if verdict.Bad {
			stops++
		}
		if verdict.Bad && stops >= domainsToRollBack {
			return verdict, id
		}
	}
	return Verdict{}, ""
}

// newStop returns a failure domain in which the new version is bad and not yet
// stopped.
func (d decider) newStop() (domain.ID, Verdict, bool) {
	for _, id := range d.reporting() {
		if d.row.StoppedIn(id) {
			continue
		}
		if verdict := d.judge(id); verdict.Bad {
			return id, verdict, true
		}
	}
	return "", Verdict{}, false
}

// judge returns the verdict on one failure domain: that of a VM's guard, or else
// that on the evidence of its VMs together.
func (d decider) judge(id domain.ID) Verdict {
	var fresh, old Counts
	for _, r := range d.reports() {
		if r.Domain != id {
			continue
		}
		if r.Stopped && r.Verdict.Bad {
			return r.Verdict
		}
		fresh, old = fresh.Add(r.Fresh), old.Add(r.Old)
	}
	return Compare(fresh, old, d.row.Baseline, d.o.Tolerance, d.o.Evidence)
}

// reports returns those about the current step. Old ones count too: what they
// saw happened, however silent the VM has been since.
func (d decider) reports() []Report {
	var current []Report
	for _, r := range d.in.Reports {
		if r.Generation >= d.row.StepGeneration {
			current = append(current, r)
		}
	}
	return current
}

// reporting returns the failure domains with reports on the step, sorted.
func (d decider) reporting() []domain.ID {
	var ids []domain.ID
	for _, r := range d.reports() {
		ids = append(ids, r.Domain)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (d decider) total() (fresh, old Counts) {
	for _, r := range d.reports() {
		fresh, old = fresh.Add(r.Fresh), old.Add(r.Old)
	}
	return fresh, old
}

// stepDomains returns the failure domains of the step.
func (d decider) stepDomains() []domain.ID {
	if d.row.Step < len(d.in.Plan.Steps) {
		if named := d.in.Plan.Steps[d.row.Step].Domains; len(named) > 0 {
			return named
		}
	}
	return d.in.Domains
}

// holdReason returns why the step may not end, and the domain it is about.
func (d decider) holdReason() (Reason, domain.ID) {
	switch {
	case d.row.Step >= len(d.in.Plan.Steps):
		return ReasonPlanMismatch, ""
	case d.in.Plan.Paused:
		return ReasonPaused, ""
	case len(d.row.Stopped) > 0:
		return ReasonDomainStop, d.row.Stopped[0]
	}
	if reason, at := d.silence(); reason != ReasonNone {
		return reason, at
	}
	if d.in.Now.Sub(d.row.Since) < d.in.Plan.Steps[d.row.Step].Dwell() {
		return ReasonDwell, ""
	}
	return d.thinEvidence(), ""
}

// silence returns the first failure domain of the step with a VM that can't
// report, is behind, or does not serve the version yet.
func (d decider) silence() (Reason, domain.ID) {
	for _, id := range d.stepDomains() {
		heard := false
		for _, r := range d.in.Reports {
			if r.Domain != id || r.Gone {
				continue
			}
			heard = true
			late := d.in.Now.Sub(r.At) > d.o.ReportMaxAge || r.Generation < d.row.StepGeneration
			switch {
			case late:
				return ReasonSilent, id
			case r.Loading:
				return ReasonLoading, id
			}
		}
		if !heard {
			return ReasonSilent, id
		}
	}
	return ReasonNone, ""
}

func (d decider) thinEvidence() Reason {
	fresh, old := d.total()
	if _, suspect := Suspect(fresh, old, d.row.Baseline, d.o.Tolerance); suspect {
		return ReasonSuspect
	}
	switch {
	case fresh.Requests < d.o.MinRequests:
		return ReasonRequests
	case d.o.MinRatings < 0:
		return ReasonNone
	case d.in.RaterOut:
		return ReasonRaterOut
	case fresh.Rated < d.o.MinRatings:
		return ReasonRatings
	default:
		return ReasonNone
	}
}
