package rollout

import (
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// decider holds the arguments of one decision.
type decider struct {
	in  Input
	o   Options
	row Progress

	domains map[domain.ID]*tally
	all     *tally
	counted []domain.ID // failure domains with counts of the step, sorted
}

func newDecider(in Input, o Options) decider {
	d := decider{in: in, o: o, row: in.Row}
	d.domains, d.all, d.counted = tallies(in, o.ReportMaxAge)
	return d
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
	if verdict := d.compare(d.all); verdict.Bad {
		return verdict, ""
	}
	stops := len(d.row.Stopped)
	for _, id := range d.counted {
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
	for _, id := range d.counted {
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
	t := d.domains[id]
	if t.stop.Bad {
		return t.stop
	}
	return d.compare(t)
}

// compare compares the versions while both serve new sessions.
func (d decider) compare(t *tally) Verdict {
	if d.row.Phase != Running {
		return Verdict{}
	}
	return Compare(t.fresh, t.old, d.row.Baseline, d.o.Tolerance, d.o.Evidence)
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
	domains := d.stepDomains()
	if len(domains) == 0 {
		return ReasonSilent, ""
	}
	for _, id := range domains {
		t := d.domains[id]
		switch {
		case t == nil, !t.heard, t.late:
			return ReasonSilent, id
		case t.loading:
			return ReasonLoading, id
		}
	}
	return ReasonNone, ""
}

func (d decider) thinEvidence() Reason {
	fresh, old := d.all.fresh, d.all.old
	if _, suspect := Suspect(fresh, old, d.row.Baseline, d.o.Tolerance); suspect {
		return ReasonSuspect
	}
	switch {
	case fresh.Requests < d.o.MinRequests:
		return ReasonRequests
	case d.o.MinRatings < 0:
		return ReasonNone
	case d.in.RaterOut || d.all.raterOut():
		return ReasonRaterOut
	case fresh.Rated < d.o.MinRatings:
		return ReasonRatings
	default:
		return ReasonNone
	}
}
