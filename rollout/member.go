package rollout

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/vm"
)

// Member is a VM in the platform's list of VMs.
type Member struct {
	VM     vm.ID
	Domain domain.ID
	// Leaving reports that the VM is about to stop.
	Leaving bool
}

// goneReportAge is the report age above which a VM that is not listed counts as
// gone. The list lags behind, so a VM with a more recent report counts as live.
const goneReportAge = 30 * time.Second

// ReconcileReports marks the reports of VMs that are gone. It also adds an empty
// report for each listed VM that has not reported and is not leaving, so that its
// missing report holds the roll-out. An empty list means that the list is not known;
// then nothing is marked.
func ReconcileReports(reports []Report, members []Member, now time.Time) []Report {
	unreported := make(map[vm.ID]Member, len(members))
	for _, m := range members {
		unreported[m.VM] = m
	}
	completed := slices.Clone(reports)
	for i, r := range completed {
		_, listed := unreported[r.VM]
		completed[i].Gone = len(members) > 0 && !listed && now.Sub(r.At) > goneReportAge
		delete(unreported, r.VM)
	}
	for _, m := range members {
		if _, missing := unreported[m.VM]; missing && !m.Leaving {
			completed = append(completed, Report{VM: m.VM, Domain: m.Domain})
		}
	}
	return completed
}

// DomainsOf returns the failure domains of the members, sorted.
func DomainsOf(members []Member) []domain.ID {
	ids := make([]domain.ID, len(members))
	for i, m := range members {
		ids[i] = m.Domain
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
