package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/retry"
)

const span = 10 * time.Second

// newWindows returns WindowBudgets with an allowance for the upstream scope.
func newWindows(ratio, slack float64) *retry.WindowBudgets {
	return retry.NewWindowBudgets(retry.WindowBudgetOptions{Span: span, Allowances: map[retry.ScopeKind]retry.Allowance{
		retry.UpstreamScope: {Ratio: ratio, Slack: slack},
	}})
}

// TestWindowsNeverExceedAllowanceInAnySpan records attempts at random times and
// checks that no window of length span contains more additional attempts than its
// first attempts allow.
func TestWindowsNeverExceedAllowanceInAnySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scope := retry.Scope{Kind: retry.UpstreamScope, Name: "s"}
		w := newWindows(0.5, 3)
		now := time.Unix(1000, 0)
		var first, additional []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(rt, "pause")))
			if rapid.Bool().Draw(rt, "first") {
				w.RecordFirst(now, scope)
				first = append(first, now)
				continue
			}
			if _, ok := w.Consume(now, scope); ok {
				additional = append(additional, now)
			}
			if n := inSpan(additional, now); float64(n) > 0.5*float64(inSpan(first, now))+3 {
				rt.Fatalf("%d additional attempts for %d first attempts", n, inSpan(first, now))
			}
		}
	})
}

// inSpan returns the number of times that are less than span before now.
func inSpan(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < span {
			n++
		}
	}
	return n
}

func TestCascadeStepsLeaveBudgetForRetries(t *testing.T) {
	g := NewWithT(t)
	w := retry.NewWindowBudgets(retry.WindowBudgetOptions{Span: span, Allowances: map[retry.ScopeKind]retry.Allowance{
		retry.UpstreamScope: {Ratio: 1}, retry.StepScope: {Ratio: 0.5},
	}})
	p := retry.NewPolicy(retry.DefaultOptions(), w)
	now := time.Unix(1000, 0)
	s := &retry.State{Group: "s", Deadline: now.Add(time.Minute), Repeatable: true}
	for range 10 {
		p.Begin(s, now)
	}
	now = now.Add(time.Second)
	steps := 0
	for p.DecideStep(s, now) == retry.Allowed {
		steps++
	}
	g.Expect(steps).To(Equal(5))
	g.Expect(p.CanStep(s, now)).To(BeFalse())
	v := p.Decide(s, retry.Failure{Kind: retry.ConnectionLost, HasAlternative: true}, 0, now)
	g.Expect(v.Action).To(Equal(retry.Retry))
}

func TestRetryAfterNotConnectedConsumesNoBudget(t *testing.T) {
	g := NewWithT(t)
	p := retry.NewPolicy(retry.DefaultOptions(), newWindows(0, 0))
	now := time.Unix(1000, 0)
	s := &retry.State{Group: "s", Deadline: now.Add(time.Minute)}
	g.Expect(p.Decide(s, retry.Failure{Kind: retry.NotConnected, HasAlternative: true}, 0, now).Action).To(Equal(retry.Retry))
	g.Expect(p.Decide(s, retry.Failure{Kind: retry.NotStarted, HasAlternative: true}, 0, now).Action).To(Equal(retry.GiveUp))
}

func TestUnsuccessfulRepeatsAreLimitedToSamples(t *testing.T) {
	g := NewWithT(t)
	w := retry.NewRepeatEstimator()
	now := time.Unix(1000, 0)
	for range 10 {
		w.Record("lookup", false)
	}
	g.Expect(w.Allow("lookup", now)).To(BeTrue())
	g.Expect(w.Allow("lookup", now.Add(time.Second))).To(BeFalse())
	g.Expect(w.Allow("lookup", now.Add(6*time.Second))).To(BeTrue())
	g.Expect(w.Allow("other", now)).To(BeTrue())
}

func TestFirstAttemptsOutsideSpanAddNoBudget(t *testing.T) {
	g := NewWithT(t)
	scope := retry.Scope{Kind: retry.UpstreamScope, Name: "s"}
	w := newWindows(1, 0)
	firstAt := time.Unix(1000, 0)
	for range 10 {
		w.RecordFirst(firstAt, scope)
	}
	g.Expect(w.CanConsume(firstAt.Add(span/2), scope)).To(BeTrue())
	g.Expect(w.CanConsume(firstAt.Add(span+span/40), scope)).To(BeFalse())
}
