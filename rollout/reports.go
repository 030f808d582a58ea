package rollout

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
)

// reportSum aggregates the reports of one failure domain, or of all of them.
type reportSum struct {
	// newCounts and oldCounts are the summed counts of the new and the replaced
	// version in reports on the current step. Reports that are out of date are
	// included: the requests that they count did take place.
	newCounts, oldCounts Counts
	// hasCounts reports that there is a report on the current step.
	hasCounts bool
	// guardVerdict is the verdict of a VM's guard that stopped the new version,
	// if any.
	guardVerdict Verdict
	// These cover the VMs that are not gone. hasLiveVM reports that there is one,
	// hasStaleVM that one has an outdated report or progress row, hasLoadingVM
	// that the upstreams of one still load the new version.
	hasLiveVM, hasStaleVM, hasLoadingVM bool
	// liveVMs is the number of VMs that are not gone, unratedVMs the number of
	// those that get no ratings.
	liveVMs, unratedVMs int
}

// ratingsUnavailable reports whether at least half of the live VMs get no ratings.
func (s *reportSum) ratingsUnavailable() bool {
	return s.unratedVMs > 0 && 2*s.unratedVMs >= s.liveVMs
}

// add includes one report. A live VM whose report is older than minReportTime is
// stale.
func (s *reportSum) add(r Report, row Progress, minReportTime time.Time) {
	current := r.Generation >= row.StepGeneration
	if current {
		s.hasCounts = true
		s.newCounts, s.oldCounts = s.newCounts.Add(r.NewCounts), s.oldCounts.Add(r.OldCounts)
		if r.Stopped && r.Verdict.Bad {
			s.guardVerdict = r.Verdict
		}
	}
	if r.Gone {
		return
	}
	s.hasLiveVM = true
	s.hasStaleVM = s.hasStaleVM || !current || r.At.Before(minReportTime)
	s.hasLoadingVM = s.hasLoadingVM || r.Loading
	s.liveVMs++
	if r.RaterOut {
		s.unratedVMs++
	}
}

// sumReports aggregates the reports by failure domain and in total. It returns
// the failure domains with counts of the current step in sorted order.
func sumReports(in Input, maxReportAge time.Duration) (map[domain.ID]*reportSum, *reportSum, []domain.ID) {
	minReportTime := in.Now.Add(-maxReportAge)
	total, byDomain := &reportSum{}, make(map[domain.ID]*reportSum)
	for _, r := range in.Reports {
		sum := byDomain[r.Domain]
		if sum == nil {
			sum = &reportSum{}
			byDomain[r.Domain] = sum
		}
		sum.add(r, in.Row, minReportTime)
		total.add(r, in.Row, minReportTime)
	}
	var domainsWithCounts []domain.ID
	for id, sum := range byDomain {
		if sum.hasCounts {
			domainsWithCounts = append(domainsWithCounts, id)
		}
	}
	slices.Sort(domainsWithCounts)
	return byDomain, total, domainsWithCounts
}
