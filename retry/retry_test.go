package retry_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "retry")
}

var startTime = time.Unix(1_800_000_000, 0)

func newPolicy(o retry.Options) *retry.Policy {
	return retry.NewPolicy(o, retry.NewBudgets(retry.DefaultBudgetOptions()))
}

func request() *retry.State {
	return &retry.State{
		Account: "acme", Group: "strong@v1", Attempts: 1,
		Deadline: startTime.Add(10 * time.Second), ExpectedDuration: time.Second, Repeatable: true,
	}
}

var _ = Describe("Policy", func() {
	DescribeTable("gives up with the reason of the denial",
		func(want retry.Reason, kind retry.FailureKind, modify func(*retry.State)) {
			s := request()
			modify(s)
			v := newPolicy(retry.DefaultOptions()).Decide(s, retry.Failure{Kind: kind}, 0, startTime)
			Expect(v).To(Equal(retry.Decision{Action: retry.GiveUp, Reason: want}))
		},
		Entry("not repeatable, connection lost", retry.MayHaveRun, retry.ConnectionLost, func(s *retry.State) { s.Repeatable = false }),
		Entry("not repeatable, idle timeout", retry.MayHaveRun, retry.IdleTimeout, func(s *retry.State) { s.Repeatable = false }),
		Entry("not repeatable, server error", retry.MayHaveRun, retry.Unavailable, func(s *retry.State) { s.Repeatable = false }),
		Entry("answer started", retry.AnswerStarted, retry.ConnectionLost, func(s *retry.State) { s.AnswerStarted = true }),
		Entry("request rejected", retry.NotRetryable, retry.Rejected, func(*retry.State) {}),
		Entry("two upstreams ended under it", retry.MayCrashUpstreams, retry.Crashed, func(s *retry.State) { s.Crashes = 2 }),
		Entry("two upstreams ended under it, then another failure", retry.MayCrashUpstreams, retry.NotStarted, func(s *retry.State) { s.Crashes = 2 }),
		Entry("not repeatable, upstream ended", retry.MayHaveRun, retry.Crashed, func(s *retry.State) { s.Repeatable, s.Crashes = false, 1 }),
		Entry("retried by the sender", retry.SenderRetries, retry.NotStarted, func(s *retry.State) { s.RetriedBySender = true }),
		Entry("maximum number of attempts reached", retry.AttemptsExhausted, retry.NotStarted, func(s *retry.State) { s.Attempts = 3 }),
		Entry("expected to finish after the deadline", retry.DeadlineTooClose, retry.NotStarted, func(s *retry.State) { s.ExpectedDuration = 11 * time.Second }),
	)

	It("retries a request once after an upstream ended under it", func() {
		s := request()
		s.Crashes = 1
		v := newPolicy(retry.DefaultOptions()).Decide(s, retry.Failure{Kind: retry.Crashed}, 0.5, startTime)
		Expect(v.Action).To(Equal(retry.Retry))
		Expect(retry.Crashed.String()).To(Equal("crashed"))
	})

	It("lets a resumable stream that is too slow go on elsewhere, but no other", func() {
		s := request()
		s.AnswerStarted, s.Resumable = true, true
		Expect(newPolicy(retry.DefaultOptions()).Decide(s, retry.Failure{Kind: retry.TooSlow}, 0.5, startTime).Action).To(Equal(retry.Retry))
		s.Resumable = false
		Expect(newPolicy(retry.DefaultOptions()).Decide(s, retry.Failure{Kind: retry.TooSlow}, 0.5, startTime).Reason).To(Equal(retry.AnswerStarted))
		Expect(retry.TooSlow.String()).To(Equal("too_slow"))
	})

	It("retries a non-repeatable request that was not started", func() {
		s := request()
		s.Repeatable = false
		for _, kind := range []retry.FailureKind{retry.NotConnected, retry.NotStarted} {
			v := newPolicy(retry.DefaultOptions()).Decide(s, retry.Failure{Kind: kind}, 0.5, startTime)
			Expect(v.Action).To(Equal(retry.Retry))
		}
	})

	It("applies Retry-After only if no other upstream can serve the request", func() {
		p := newPolicy(retry.DefaultOptions())
		f := retry.Failure{Kind: retry.NotStarted, RetryAfter: 3 * time.Second, HasAlternative: true}
		Expect(p.Decide(request(), f, 0, startTime).Delay).To(BeZero())
		f.HasAlternative = false
		Expect(p.Decide(request(), f, 0, startTime).Delay).To(Equal(3 * time.Second))
	})

	It("does not give up a running attempt without an alternative", func() {
		f := retry.Failure{Kind: retry.IdleTimeout, Running: true}
		Expect(newPolicy(retry.DefaultOptions()).Decide(request(), f, 0, startTime).Reason).To(Equal(retry.NoAlternative))
		f.HasAlternative = true
		Expect(newPolicy(retry.DefaultOptions()).Decide(request(), f, 0, startTime).Action).To(Equal(retry.Retry))
	})

	It("limits retries and hedges to the ratio of first attempts", func() {
		o, giveUps := retry.DefaultOptions(), map[retry.Reason]int{}
		o.Hooks.OnGiveUp = func(_ retry.FailureKind, r retry.Reason) { giveUps[r]++ }
		p := newPolicy(o)
		additional := 0
		for range 1000 {
			s := request()
			p.Begin(s, startTime)
			if p.DecideHedge(s, startTime).Action == retry.Hedge {
				additional++
			}
			if p.Decide(s, retry.Failure{Kind: retry.Unavailable}, 0, startTime).Action == retry.Retry {
				additional++
			}
		}
		Expect(additional).To(BeNumerically("~", 110, 2))
		Expect(giveUps[retry.AccountBudgetExhausted]).To(BeNumerically(">", 800))
	})

	It("returns the exhausted scope and does not consume the other one", func() {
		b := retry.NewBudgets(retry.BudgetOptions{Max: 1})
		accountScope := retry.Scope{Kind: retry.AccountScope, Name: "a"}
		upstreamScope := retry.Scope{Kind: retry.UpstreamScope, Name: "u"}
		_, ok := b.Consume(startTime, upstreamScope)
		Expect(ok).To(BeTrue())
		exhausted, ok := b.Consume(startTime, accountScope, upstreamScope)
		Expect(ok).To(BeFalse())
		Expect(exhausted).To(Equal(upstreamScope))
		_, ok = b.Consume(startTime, accountScope)
		Expect(ok).To(BeTrue())
		Expect(b.Sweep(startTime.Add(time.Hour))).To(BeZero())
	})

	It("hedges a request at most once and never a non-repeatable one", func() {
		p, s := newPolicy(retry.DefaultOptions()), request()
		after, ok := p.HedgeDelay(s, time.Second)
		Expect(ok).To(BeTrue())
		Expect(after).To(Equal(3 * time.Second))
		Expect(p.DecideHedge(s, startTime).Action).To(Equal(retry.Hedge))
		s.Hedged = true
		Expect(p.DecideHedge(s, startTime)).To(Equal(retry.Decision{Action: retry.Wait, Reason: retry.AlreadyHedged}))
		s = request()
		s.Repeatable = false
		_, ok = p.HedgeDelay(s, time.Second)
		Expect(ok).To(BeFalse())
		Expect(p.DecideHedge(s, startTime).Reason).To(Equal(retry.MayHaveRun))
	})
})

var _ = Describe("Backoff", func() {
	It("keeps delays below the doubling limit and the maximum", func() {
		b := retry.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
		rng := rand.New(rand.NewPCG(1, 1))
		for failed := 1; failed < 100; failed++ {
			bound := min(10*time.Millisecond<<min(failed-1, 10), time.Second)
			Expect(b.Delay(failed, rng.Float64())).To(BeNumerically("<", bound))
			Expect(b.Delay(failed, 1)).To(Equal(bound))
		}
	})
})

var _ = Describe("Breakers", func() {
	ref := model.Ref{Model: "strong", Version: "v1"}
	attempt := func(b *retry.Breakers, success bool, now time.Time) bool {
		t, ok := b.Acquire("e1", ref, now)
		if ok {
			t.Done(success, now)
		}
		return ok
	}

	It("opens at the error rate, doubles the open time after a failed probe, and closes after successful ones", func() {
		var states []retry.BreakerState
		o := retry.DefaultBreakerOptions()
		o.OnChange = func(k retry.BreakerKey, s retry.BreakerState) {
			if k.Upstream != "" {
				states = append(states, s)
			}
		}
		b := retry.NewBreakers(o)
		for range 4 {
			Expect(attempt(b, true, startTime)).To(BeTrue())
		}
		for range 4 {
			Expect(attempt(b, false, startTime)).To(BeTrue())
		}
		Expect(b.Ready("e1", ref, startTime)).To(BeFalse())
		Expect(b.Ready("e2", ref, startTime)).To(BeTrue())
		Expect(attempt(b, true, startTime.Add(999*time.Millisecond))).To(BeFalse())
		Expect(attempt(b, false, startTime.Add(time.Second))).To(BeTrue())
		Expect(b.Ready("e1", ref, startTime.Add(2*time.Second))).To(BeFalse())
		later := startTime.Add(3 * time.Second)
		Expect(attempt(b, true, later)).To(BeTrue())
		Expect(attempt(b, true, later)).To(BeTrue())
		Expect(states).To(Equal([]retry.BreakerState{retry.Open, retry.HalfOpen, retry.Open, retry.HalfOpen, retry.Closed}))
	})

	It("limits probes in flight and releases abandoned and expired ones", func() {
		b := retry.NewBreakers(retry.DefaultBreakerOptions())
		for range 5 {
			attempt(b, false, startTime)
		}
		at := startTime.Add(time.Second)
		first, ok := b.Acquire("e1", ref, at)
		Expect(ok).To(BeTrue())
		_, ok = b.Acquire("e1", ref, at.Add(1))
		Expect(ok).To(BeTrue())
		Expect(b.Ready("e1", ref, at)).To(BeFalse())
		first.Abandon()
		Expect(b.Ready("e1", ref, at)).To(BeTrue())
		Expect(attempt(b, true, at)).To(BeTrue())
		Expect(b.Ready("e1", ref, at.Add(11*time.Second))).To(BeTrue())
	})

	It("opens the version's breaker when the version fails on many upstreams", func() {
		b := retry.NewBreakers(retry.DefaultBreakerOptions())
		for _, id := range []string{"a", "b", "c", "d", "e", "a", "b", "c", "d", "e"} {
			Expect(b.VersionReady(ref, startTime)).To(BeTrue())
			t, ok := b.Acquire(upstream.ID(id), ref, startTime)
			Expect(ok).To(BeTrue())
			t.Done(false, startTime)
		}
		Expect(b.VersionReady(ref, startTime)).To(BeFalse())
		Expect(b.State(retry.BreakerKey{Ref: ref})).To(Equal(retry.Open))
		_, ok := b.Acquire("f", ref, startTime)
		Expect(ok).To(BeFalse())
		b.Retain(func(retry.BreakerKey) bool { return false })
		Expect(b.VersionReady(ref, startTime)).To(BeTrue())
	})

	It("keeps the version's breaker closed while one of two upstreams succeeds", func() {
		b := retry.NewBreakers(retry.DefaultBreakerOptions())
		for i := range 40 {
			id := []upstream.ID{"bad", "good"}[i%2]
			if t, ok := b.Acquire(id, ref, startTime); ok {
				t.Done(id == "good", startTime)
			}
		}
		Expect(b.State(retry.BreakerKey{Upstream: "bad", Ref: ref})).To(Equal(retry.Open))
		Expect(b.VersionReady(ref, startTime)).To(BeTrue())
	})

	It("admits a limited number of probes per lease while it is not closed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var probes []time.Time
			state := retry.Closed
			o := retry.DefaultBreakerOptions()
			o.OnChange = func(k retry.BreakerKey, s retry.BreakerState) {
				if k.Upstream != "" {
					state, probes = s, nil
				}
			}
			b, now := retry.NewBreakers(o), startTime
			var inFlight []retry.Permit
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				ready := b.Ready("e1", ref, now)
				attempt, ok := b.Acquire("e1", ref, now)
				if ok && !ready {
					t.Fatal("attempt admitted although Ready returned false")
				}
				if ok {
					inFlight = append(inFlight, attempt)
					probes = append(probes, now)
				}
				if state != retry.Closed && countWithin(probes, now, o.ProbeLease) > 2*o.Probes-1 {
					t.Fatalf("too many probes in flight, started at %v", probes)
				}
				if n := len(inFlight); n > 0 && rapid.Bool().Draw(t, "end") {
					i := rapid.IntRange(0, n-1).Draw(t, "which")
					inFlight[i].Done(rapid.IntRange(0, 3).Draw(t, "good") == 0, now)
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			}
		})
	})
})

// countWithin returns the number of times that are less than maxAge before now.
func countWithin(times []time.Time, now time.Time, maxAge time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < maxAge {
			n++
		}
	}
	return n
}
