package rollout

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
)

// tally is what all reports of one failure domain, or of all, show together.
type tally struct {
	// fresh and old are the counts of reports on the current step. Old reports
	// count too: what they saw happened, however silent the VM has been since.
	fresh, old Counts
	// counted says that there is such a report.
	counted bool
	// stop is the verdict of a VM's guard, if any stopped the new version.
	stop Verdict
	// heard, late and loading are about VMs that have not gone: that there is
	// one, that one is silent or behind, that one's upstreams still load.
	heard, late, loading bool
	// vms is the number of VMs that have not gone, unrated that of those which
	// get no ratings.
	vms, unrated int
}

// raterOut tells whether at least half of the VMs get no ratings.
func (t *tally) raterOut() bool {
	return t.unrated > 0 && 2*t.unrated >= t.vms
}

// add takes in one report.
func (t *tally) add(r Report, row Progress, oldest time.Time) {
	current := r.Generation >= row.StepGeneration
	if current {
		t.counted = true
		t.fresh, t.old = t.fresh.Add(r.Fresh), t.old.Add(r.Old)
		if r.Stopped && r.Verdict.Bad {
			t.stop = r.Verdict
		}
	}
	if r.Gone {
		return
	}
	t.heard = true
	t.late = t.late || !current || r.At.Before(oldest)
	t.loading = t.loading || r.Loading
	t.vms++
	if r.RaterOut {
		t.unrated++
	}
}

// tallies sums the reports up, by failure domain and in all. The failure domains
// with counts are returned sorted.
func tallies(in Input, maxAge time.Duration) (map[domain.ID]*tally, *tally, []domain.ID) {
	oldest := in.Now.Add(-maxAge)
	all, byDomain := &tally{}, make(map[domain.ID]*tally)
	for _, r := range in.Reports {
		t := byDomain[r.Domain]
		if t == nil {
			t = &tally{}
			byDomain[r.Domain] = t
		}
		t.add(r, in.Row, oldest)
		all.add(r, in.Row, oldest)
	}
	var counted []domain.ID
	for id, t := range byDomain {
		if t.counted {
			counted = append(counted, id)
		}
	}
	slices.Sort(counted)
	return byDomain, all, counted
}
