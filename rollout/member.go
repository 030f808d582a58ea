package rollout

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/vm"
)

// Member is a VM that the platform lists.
type Member struct {
	VM     vm.ID
	Domain domain.ID
	// Leaving says that the VM is about to stop.
	Leaving bool
}

// goneAfter is the age from which the report of a VM that is not listed is that
// of a VM that has gone. The list lags, so a younger report counts as heard.
const goneAfter = 30 * time.Second

// Complete marks the reports of VMs that have gone, and adds an empty one for
// each listed VM that has not reported, so that its silence counts. An empty
// list means that it is not known, and marks nothing.
func Complete(reports []Report, listed []Member, now time.Time) []Report {
	missing := make(map[vm.ID]Member, len(listed))
	for _, m := range listed {
		missing[m.VM] = m
	}
	completed := slices.Clone(reports)
	for i, r := range completed {
		_, found := missing[r.VM]
		completed[i].Gone = len(listed) > 0 && !found && now.Sub(r.At) > goneAfter
		delete(missing, r.VM)
	}
	for _, m := range listed {
		if _, silent := missing[m.VM]; silent && !m.Leaving {
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
