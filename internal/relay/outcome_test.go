package relay

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/peerrelay"
	"github.com/poplarshore/poplarshore/internal/shifts"
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

// TestRequestThatFailsAgainIsOneObservation guards against a good version that is reverted for a request that fails at any
// upstream, which counted once for each attempt.
func TestRequestThatFailsAgainIsOneObservation(t *testing.T) {
	g := NewWithT(t)
	a := &attempt{exchange: &exchange{}}
	failed := errFailed.New("upstream failure")
	g.Expect(a.versionResult(failed, false)).To(Equal(shifts.Failed))
	a.exchange.retriedFailure = true
	g.Expect(a.versionResult(failed, false)).To(Equal(shifts.Inconclusive))
	g.Expect(a.versionResult(nil, false)).To(Equal(shifts.Succeeded))
}
