package hints

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/vm"
)

// In a large fleet evidence goes to a few VMs, which pass it on to all.
func TestEvidenceReachesAllVMsThroughFew(t *testing.T) {
	g := NewWithT(t)
	vms := make(map[vm.ID]members.Member)
	for i := range 300 {
		id := vm.ID(fmt.Sprint(i))
		vms[id] = members.Member{ID: id}
	}
	regionOf := func(domain.ID) domain.Region { return "" }
	report := Hint{Upstream: "e", Quarantine: &quarantines.Message{ForAll: true}}
	g.Expect(selectRecipients(vms, regionOf, report)).To(HaveLen(evidenceRelays))
	g.Expect(selectRecipients(vms, regionOf, report)).To(Equal(selectRecipients(vms, regionOf, report)))
	g.Expect(selectRecipients(vms, regionOf, Hint{Upstream: "e", Quarantine: &quarantines.Message{}})).To(HaveLen(300))
}
