package relay

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/peerrelay"
)

// TestSenderIsNotBlamedForMemoryOfOthers guards against circuit breakers, reverted versions and avoided VMs because others
// have used up the memory.
func TestSenderIsNotBlamedForMemoryOfOthers(t *testing.T) {
	g := NewWithT(t)
	noRoom := keepError(membudget.ErrExhausted.New("no room"), "sender")
	g.Expect(blamesNobody(noRoom)).To(BeTrue())
	g.Expect(peerResult(t.Context(), noRoom)).To(Equal(peerrelay.Inconclusive))
	overShare := keepError(membudget.ErrHolderShare.New("no room"), "sender")
	g.Expect(blamesNobody(overShare)).To(BeFalse())
	g.Expect(peerResult(t.Context(), overShare)).To(Equal(peerrelay.Unavailable))
}
