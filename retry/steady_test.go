package retry_test

import (
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/retry"
)

// stepTimeOfDay returns a time with the same steady reading whose time of day was set forward by whole seconds,
// as time.Now returns it after a step.
func stepTimeOfDay(t time.Time, seconds uint64) time.Time {
	// The wall seconds of a time with a steady reading begin at bit 30 of its first word.
	const secondsShift = 30
	*(*uint64)(unsafe.Pointer(&t)) += seconds << secondsShift
	return t
}

// TestBudgetSlidesByTheSteadyClock guards against additional attempts beyond the allowance after the time of day
// was set.
func TestBudgetSlidesByTheSteadyClock(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	stepped := stepTimeOfDay(now, 60)
	g.Expect(stepped.Sub(now)).To(BeZero())
	g.Expect(stepped.Unix() - now.Unix()).To(BeEquivalentTo(60))
	scope := retry.Scope{Kind: retry.AccountScope, Name: "s"}
	budgets := retry.NewWindowBudgets(retry.WindowBudgetOptions{
		Span: 10 * time.Second, Allowances: map[retry.ScopeKind]retry.Allowance{retry.AccountScope: {Slack: 2}},
	})
	for range 2 {
		_, ok := budgets.Consume(now, scope)
		g.Expect(ok).To(BeTrue())
	}
	_, ok := budgets.Consume(stepped, scope)
	g.Expect(ok).To(BeFalse(), "no time has passed on the steady clock")
	_, ok = budgets.Consume(stepped.Add(11*time.Second), scope)
	g.Expect(ok).To(BeTrue())
}
