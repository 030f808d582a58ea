package rollout

import (
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// decider holds the arguments of one decision and the aggregated reports.
type decider struct {
	in      Input
	options Options
	row     Progress

	sumByDomain       map[domain.ID]*reportSum
	total             *reportSum
	domainsWithCounts []domain.ID // failure domains with counts of the current step, sorted
}

func newDecider(in Input, o Options) decider {
	d := decider{in: in, options: o, row: in.Row}
	d.sumByDomain, d.total, d.domainsWithCounts = sumReports(in, o.ReportMaxAge)
	return d
}

func (d decider) isWithdrawn(v model.VersionID) bool {
	return d.in.Withdrawn != nil && d.in.Withdrawn(v)
}

// decideRunning decides on a roll-out in progress. Reasons to roll back or stop take
// precedence over reasons to hold, and both over advancing.
func (d decider) decideRunning() Decision {
	if reason := d.rollBackReason(); reason != ReasonNone {
		return d.rollBack(reason, Verdict{}, "")
	}
	if verdict, domainID := d.overallVerdict(); verdict.Bad {
		return d.rollBack(ReasonBad, verdict, domainID)
	}
	if domainID, verdict, found := d.domainToStop(); found {
		return d.stopDomain(domainID, verdict)
	}
	if reason, domainID := d.holdReason(); reason != ReasonNone {
		return d.hold(reason, domainID)
	}
	return d.advance()
}

// rollBackReason returns why the roll-out is rolled back regardless of the evidence.
func (d decider) rollBackReason() Reason {
	switch {
	case d.in.Plan.Aborted:
		return ReasonAborted
	case d.isWithdrawn(d.in.Plan.To):
		return ReasonWithdrawn
	default:
		return ReasonNone
	}
}

// overallVerdict returns a bad verdict if the new version is bad everywhere:
// according to the watch, to the evidence of all domains together, or in
// domainsToRollBack domains. In the last case it also returns the domain that
// completes that number.
func (d decider) overallVerdict() (Verdict, domain.ID) {
	if d.in.WatchVerdict.Bad {
		return d.in.WatchVerdict, ""
	}
	if verdict := d.compare(d.total); verdict.Bad {
		return verdict, ""
	}
	stoppedDomains := len(d.row.Stopped)
	for _, id := range d.domainsWithCounts {
		if d.row.StoppedIn(id) {
			continue
		}
		verdict := d.domainVerdict(id)
		if verdict.Bad {
			stoppedDomains++
		}
		if verdict.Bad && stoppedDomains >= domainsToRollBack {
			return verdict, id
		}
	}
	return Verdict{}, ""
}

// domainToStop returns a failure domain in which the new version is bad and not yet
// stopped.
func (d decider) domainToStop() (domain.ID, Verdict, bool) {
	for _, id := range d.domainsWithCounts {
		if d.row.StoppedIn(id) {
			continue
		}
		if verdict := d.domainVerdict(id); verdict.Bad {
			return id, verdict, true
		}
	}
	return "", Verdict{}, false
}

// domainVerdict returns the verdict for one failure domain: that of a VM's guard or,
// if there is none, the one on the summed evidence of the domain's VMs.
func (d decider) domainVerdict(id domain.ID) Verdict {
	sum := d.sumByDomain[id]
	if sum.guardVerdict.Bad {
		return sum.guardVerdict
	}
	return d.compare(sum)
}

// compare compares the versions. After the roll-out has ended it returns no bad
// verdict, as the versions no longer serve new sessions side by side.
func (d decider) compare(sum *reportSum) Verdict {
	if d.row.Phase != Running {
		return Verdict{}
	}
	return Compare(sum.newCounts, sum.oldCounts, d.row.Baseline, d.options.Tolerance, d.options.EvidenceThreshold)
}

// stepDomains returns the failure domains of the current step.
func (d decider) stepDomains() []domain.ID {
	if d.row.Step < len(d.in.Plan.Steps) {
		if stepDomains := d.in.Plan.Steps[d.row.Step].Domains; len(stepDomains) > 0 {
			return stepDomains
		}
	}
	return d.in.Domains
}

// holdReason returns why the step may not end, and the failure domain that the
// reason refers to, if any.
func (d decider) holdReason() (Reason, domain.ID) {
	switch {
	case d.row.Step >= len(d.in.Plan.Steps):
		return ReasonPlanMismatch, ""
	case d.in.Plan.Paused:
		return ReasonPaused, ""
	case len(d.row.Stopped) > 0:
		return ReasonDomainStop, d.row.Stopped[0]
	}
	if reason, domainID := d.domainNotReady(); reason != ReasonNone {
		return reason, domainID
	}
	if d.in.Now.Sub(d.row.Since) < d.in.Plan.Steps[d.row.Step].Dwell() {
		return ReasonDwell, ""
	}
	return d.evidenceShortfall(), ""
}

// domainNotReady returns the first failure domain of the step that has no live VM,
// or has a VM without a recent report on the current step or one that does not
// serve the new version yet.
func (d decider) domainNotReady() (Reason, domain.ID) {
	domains := d.stepDomains()
	if len(domains) == 0 {
		return ReasonSilent, ""
	}
	for _, id := range domains {
		sum := d.sumByDomain[id]
		switch {
		case sum == nil, !sum.hasLiveVM, sum.hasStaleVM:
			return ReasonSilent, id
		case sum.hasLoadingVM:
			return ReasonLoading, id
		}
	}
	return ReasonNone, ""
}

// evidenceShortfall returns why the evidence is not sufficient to end the step.
func (d decider) evidenceShortfall() Reason {
	newCounts, oldCounts := d.total.newCounts, d.total.oldCounts
	if _, suspect := Suspect(newCounts, oldCounts, d.row.Baseline, d.options.Tolerance); suspect {
		return ReasonSuspect
	}
	switch {
	case newCounts.Requests < d.options.MinRequests:
		return ReasonRequests
	case d.options.MinRatings < 0:
		return ReasonNone
	case d.in.RaterOut || d.total.ratingsUnavailable():
		return ReasonRaterOut
	case newCounts.Rated < d.options.MinRatings:
		return ReasonRatings
	default:
		return ReasonNone
	}
}
