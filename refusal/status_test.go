package refusal_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/refusal"
)

// TestStatusAfterRunStatesNothing guards against a refusal whose caller takes a request that may have run for one that has not.
func TestStatusAfterRunStatesNothing(t *testing.T) {
	g := NewWithT(t)
	for _, status := range []int{408, 421, 429, 503} {
		r := refusal.New(refusal.Overloaded)
		r.Status = status
		g.Expect(refusal.StatesNotRun(status)).To(BeTrue())
		g.Expect(r.StatusAfterRun()).To(Equal(http.StatusBadGateway))
	}
	g.Expect(refusal.New(refusal.DeadlineExceeded).StatusAfterRun()).To(Equal(http.StatusGatewayTimeout))
	g.Expect(refusal.StatesNotRun(http.StatusBadGateway)).To(BeFalse())
}
